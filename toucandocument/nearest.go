package toucandocument

import "strings"

// Nearest returns the name in known with the smallest edit distance from word, ignoring case. It returns ""
// when every distance is at least len(word)/2+2.
func Nearest(word string, known []string) string {
	best, bestDistance := "", len(word)/2+2
	for _, k := range known {
		d := editDistance(strings.ToLower(word), strings.ToLower(k))
		if d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitute := diagonal
			if a[i-1] != b[j-1] {
				substitute++
			}
			diagonal = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, substitute)
		}
	}
	return row[len(b)]
}
