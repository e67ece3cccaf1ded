package quota

import "slices"

// claim is what one part wants of an account.
type claim struct {
	part int
	want Want
}

// divide returns for each account the tokens of each part, -1 for parts that want none. Needs of all
// parts go before spares; among either each part gets as many as the others until it has enough.
func divide(parts []part, given map[string]Given) map[string][]int {
	claims := map[string][]claim{}
	for i, p := range parts {
		for _, w := range p.wants {
			claims[w.Account] = append(claims[w.Account], claim{part: i, want: w})
		}
	}
	out := map[string][]int{}
	for account, of := range claims {
		shares := slices.Repeat([]int{-1}, len(parts))
		for _, c := range of {
			shares[c.part] = 0
		}
		left := level(of, shares, given[account].Tokens, func(w Want) int { return w.Need })
		level(of, shares, left, func(w Want) int { return w.Need + w.Spare })
		out[account] = shares
	}
	return out
}

// level gives tokens one by one to the claims that have fewer than they want, in turn, and returns
// what is left.
func level(claims []claim, shares []int, left int, wanted func(Want) int) int {
	for progress := true; progress && left > 0; {
		progress = false
		for _, c := range claims {
			if shares[c.part] < wanted(c.want) && left > 0 {
				shares[c.part]++
				left--
				progress = true
			}
		}
	}
	return left
}
