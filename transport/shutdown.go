package transport

import "context"

// Shutdown ends a connection once the peer has received all queued messages, or
// when ctx is done, in which case it returns the context's cause. A Conn without
// a method Shutdown is closed immediately.
func Shutdown(ctx context.Context, c Conn) error {
	if s, ok := c.(interface{ Shutdown(context.Context) error }); ok {
		return s.Shutdown(ctx)
	}
	c.Close()
	return nil
}
