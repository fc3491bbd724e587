package core

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseToken parses the output of Token.String.
func ParseToken(s string) (Token, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 {
		return Token{}, fmt.Errorf("core: token %q is not of the form term.rank.seq", s)
	}
	term, err := strconv.ParseUint(parts[0], 10, 64)
	if err != nil {
		return Token{}, fmt.Errorf("core: token %q: term: %w", s, err)
	}
	rank, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return Token{}, fmt.Errorf("core: token %q: rank: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Token{}, fmt.Errorf("core: token %q: sequence: %w", s, err)
	}
	return Token{Term: term, Rank: uint32(rank), Seq: seq}, nil
}

const hotKeyPrefix = "hot-"

// ParseRangeID parses the output of RangeID.String.
func ParseRangeID(s string) (RangeID, error) {
	service, rest, ok := strings.Cut(s, "/")
	if !ok || service == "" {
		return RangeID{}, fmt.Errorf("core: range %q is not of the form service/number", s)
	}
	if hex, hot := strings.CutPrefix(rest, hotKeyPrefix); hot {
		hash, err := strconv.ParseUint(hex, 16, 64)
		if err != nil || hash == 0 {
			return RangeID{}, fmt.Errorf("core: range %q: invalid hot key hash", s)
		}
		return RangeID{Service: Service(service), HotKey: hash}, nil
	}
	number, err := strconv.ParseUint(rest, 10, 32)
	if err != nil {
		return RangeID{}, fmt.Errorf("core: range %q: number: %w", s, err)
	}
	return RangeID{Service: Service(service), Number: uint32(number)}, nil
}
