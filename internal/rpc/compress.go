package rpc

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// zstdWindowBytes bounds the memory of the encoder, and of decoders of what it writes.
const zstdWindowBytes = 256 << 10

// zstdEncoder is made when it is first used: a process that only decompresses needs none.
var zstdEncoder = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // its options alone can be wrong
	}
	return encoder
})

// Compress compresses with zstd (RFC 8878).
func Compress(content []byte) []byte { return zstdEncoder().EncodeAll(content, nil) }

// Decompress reverses Compress. Content of more than maxSize bytes is an error: a few compressed bytes may hold a great many.
func Decompress(compressed []byte, maxSize int) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxSize)))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}
