package pg

import "encoding/binary"

// AppendStartup appends a startup message, with further parameters each as a name and a value.
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

// AppendCancelRequest appends a request to cancel what a session runs. It is sent on a connection of its own.
func AppendCancelRequest(out []byte, key CancelKey) []byte {
	return appendMessage(out, noMessageType, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, requestCodeMajor<<16|cancelRequestCodeMinor)
		return appendCancelKey(out, key)
	})
}

// AppendQuery appends a Query message. Its text is given in parts.
func AppendQuery(out []byte, parts ...string) []byte {
	return appendMessage(out, clientQuery, func(out []byte) []byte {
		for _, part := range parts {
			out = append(out, part...)
		}
		return append(out, 0)
	})
}

// AppendParse appends a Parse message for a prepared statement; tail is the Tail of a decoded one.
func AppendParse(out []byte, name string, tail []byte) []byte {
	return appendMessage(out, clientParse, func(out []byte) []byte { return append(appendCString(out, name), tail...) })
}

// AppendBind appends a Bind message; tail is the Tail of a decoded one.
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

// AppendSync appends a Sync message, which ends a pipeline.
func AppendSync(out []byte) []byte { return AppendBodyless(out, clientSync) }
