package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the tokens of generated text.
var vocabulary = func() [1024]string {
	consonants, vowels := "bdfgklmnprstvz", "aeiou"
	var all [1024]string
	for i := range all {
		n := i
		word := make([]byte, 0, 6)
		for range 2 {
			word = append(word, consonants[n%len(consonants)])
			n /= len(consonants)
			word = append(word, vowels[n%len(vowels)])
			n /= len(vowels)
		}
		all[i] = string(word) + " "
	}
	return all
}()

// Seed returns the seed of a request's generated text. The same model, prompt and
// seed give the same text on every engine.
func Seed(model, prompt string, seed int64) uint64 {
	return xxhash.Sum64String(model + "\x00" + strconv.FormatInt(seed, 10) + "\x00" + prompt)
}

// Text returns the generated tokens between two offsets.
func Text(seed uint64, from, to int) string {
	var text []byte
	for i := from; i < to; i++ {
		text = append(text, tokenAt(seed, i)...)
	}
	return string(text)
}

// tokenAt returns the token at an offset, using a step of splitmix64.
func tokenAt(seed uint64, offset int) string {
	z := seed + uint64(offset+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return vocabulary[(z^z>>31)%uint64(len(vocabulary))]
}
