package load

import (
	"fmt"
	"net/http"
	"strings"
)

// ParseRequest parses a request of the form "[CLASS=]METHOD PATH [BODY]".
// Without a class, the method and path are used as the class.
func ParseRequest(s string) (Request, error) {
	head, rest, ok := strings.Cut(strings.TrimSpace(s), " ")
	if !ok {
		return Request{}, fmt.Errorf("request %q is not of the form [CLASS=]METHOD PATH [BODY]", s)
	}
	path, body, _ := strings.Cut(strings.TrimSpace(rest), " ")
	class, method, named := strings.Cut(head, "=")
	if !named {
		class, method = head+" "+path, head
	}
	if method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
		return Request{}, fmt.Errorf("request %q needs an upper-case method and a path that starts with '/'", s)
	}
	return Request{Class: class, Method: method, Path: path, Body: []byte(body), Header: http.Header{}}, nil
}
