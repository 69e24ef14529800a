package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// words are the tokens of generated text.
var words = func() [1024]string {
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

// Seed returns the number that the text of a request depends on: the same
// prompt and seed give the same text on every engine.
func Seed(model, prompt string, seed int64) uint64 {
	return xxhash.Sum64String(model + "\x00" + strconv.FormatInt(seed, 10) + "\x00" + prompt)
}

// Text returns the tokens of an answer from one offset up to another.
func Text(seed uint64, from, to int) string {
	var text []byte
	for i := from; i < to; i++ {
		text = append(text, token(seed, i)...)
	}
	return string(text)
}

// token returns the token at an offset (a step of splitmix64).
func token(seed uint64, offset int) string {
	z := seed + uint64(offset+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return words[(z^z>>31)%uint64(len(words))]
}
