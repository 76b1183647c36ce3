package header

// nameBytes are the bytes of field names (RFC 9110, section 5.1).
var nameBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

// IsNameByte reports whether a field name may hold a byte.
func IsNameByte(c byte) bool { return nameBytes[c] }

// IsName reports whether a string is a valid field name.
func IsName(s string) bool {
	for i := range len(s) {
		if !nameBytes[s[i]] {
			return false
		}
	}
	return s != ""
}
