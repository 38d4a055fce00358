package rpc

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// zstdWindowBytes limits the memory of the encoder and of decoders of its output.
const zstdWindowBytes = 256 << 10

// zstdEncoder is created on first use, since a process that only decompresses needs none.
var zstdEncoder = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // only invalid options cause an error
	}
	return encoder
})

// Compress compresses content with zstd (RFC 8878).
func Compress(content []byte) []byte { return zstdEncoder().EncodeAll(content, nil) }

// Decompress reverses Compress. It returns an error if the content is larger than maxSize bytes, since a small message can decompress to a
// very large one.
func Decompress(compressed []byte, maxSize int) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxSize)))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(compressed, nil)
}
