package pg

import "encoding/binary"

// AppendStartup appends a StartupMessage with the user, the database and any further parameters.
func AppendStartup(out []byte, user, database string, parameters ...Setting) []byte {
	return appendMessage(out, noMessageType, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, protocolMajorVersion<<16)
		out = appendCString(appendCString(out, "user"), user)
		out = appendCString(appendCString(out, "database"), database)
		for _, parameter := range parameters {
			out = appendCString(appendCString(out, parameter.Name), parameter.Value)
		}
		return append(out, 0)
	})
}

// AppendCancelRequest appends a CancelRequest for the session that the key identifies. It must be sent on a separate connection.
func AppendCancelRequest(out []byte, key CancelKey) []byte {
	return appendMessage(out, noMessageType, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, requestCodeMajor<<16|cancelRequestCodeMinor)
		return appendCancelKey(out, key)
	})
}

// AppendQuery appends a Query message whose text is the concatenation of parts.
func AppendQuery(out []byte, parts ...string) []byte {
	return appendMessage(out, clientQuery, func(out []byte) []byte {
		for _, part := range parts {
			out = append(out, part...)
		}
		return append(out, 0)
	})
}

// AppendParse appends a Parse message for a prepared statement. tail is the Tail of a decoded Parse message.
func AppendParse(out []byte, name string, tail []byte) []byte {
	return appendMessage(out, clientParse, func(out []byte) []byte { return append(appendCString(out, name), tail...) })
}

// AppendBind appends a Bind message. tail is the Tail of a decoded Bind message.
func AppendBind(out []byte, portal, name string, tail []byte) []byte {
	return appendMessage(out, clientBind, func(out []byte) []byte {
		return append(appendCString(appendCString(out, portal), name), tail...)
	})
}

// AppendExecute appends an Execute message without a row limit.
func AppendExecute(out []byte, portal string) []byte {
	return appendMessage(out, clientExecute, func(out []byte) []byte { return append(appendCString(out, portal), 0, 0, 0, 0) })
}

// AppendDescribe appends a Describe message for a prepared statement (target 'S') or a portal ('P').
func AppendDescribe(out []byte, target byte, name string) []byte {
	return appendMessage(out, clientDescribe, func(out []byte) []byte { return appendCString(append(out, target), name) })
}

// AppendClose appends a Close message for a prepared statement (target 'S') or a portal ('P').
func AppendClose(out []byte, target byte, name string) []byte {
	return appendMessage(out, clientClose, func(out []byte) []byte { return appendCString(append(out, target), name) })
}

// AppendSync appends a Sync message, which ends an extended query pipeline.
func AppendSync(out []byte) []byte { return AppendEmptyMessage(out, clientSync) }
