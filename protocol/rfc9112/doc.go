// Package rfc9112 reads HTTP/1.1 messages (RFC 9112). A head is compared with the grammar before
// the parser of net/http reads it, because that parser accepts more: blanks in the names of
// fields, lines that end with a line feed alone, continuation lines, several lengths, and status
// lines and versions that do not exist. Peers that read such a head in different ways disagree
// about the fields of a message and about where it ends.
package rfc9112
