// Package crowd plays crowds of hostile or broken clients against entry and agent processes
// with low budgets, and checks that each process lives, stays within the bounds of its
// settings and answers an ordinary request while the crowd's connections are still open. It
// contains only tests. They check nothing about times or shares of served requests.
package crowd
