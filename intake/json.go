package intake

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// maxValueBytes bounds the JSON text of a value that is wanted.
	maxValueBytes = 32 << 10
	// streamBytes is reserved for a body that is decoded as a stream: the decoder's buffer is
	// up to twice a wanted value. It also bounds how many large bodies are read at a time.
	streamBytes = 2 * maxValueBytes
	// nameBytes is what is kept of a name: more than the longest known name has.
	nameBytes = 64
	// maxLiteralBytes bounds a number.
	maxLiteralBytes = 512
	// stepBytes is what is read of a body in one step of the gate's pacer. Decoding them takes
	// about as long as a small request.
	stepBytes = 16 << 10
	// maxDepth bounds the nesting of values that are not wanted, as encoding/json does.
	maxDepth = 10_000
)

var (
	errValueTooLarge = fmt.Errorf("a value has more than %d bytes", maxValueBytes)
	errLiteral       = fmt.Errorf("a number has more than %d bytes", maxLiteralBytes)
	errDepth         = fmt.Errorf("values are nested more than %d deep", maxDepth)
	errNoObject      = errors.New("an object is expected")
	errTrailing      = errors.New("text after the object")
)

// Fields are the wanted fields of a JSON object by name, compared as encoding/json does:
// pointers for encoding/json to decode into, or functions that read the value themselves.
type Fields map[string]any

// ReadValue reads a value from a decoder.
type ReadValue = func(*Decoder) error

// DecodeJSON decodes the body, an object, into fields. whole is a pointer that gets a
// small body in one step, as by json.Unmarshal. Fields that are not wanted take no memory.
func (b *Body) DecodeJSON(whole any, fields Fields) error {
	if b.isSmall() {
		data := make([]byte, b.r.ContentLength)
		if _, err := io.ReadFull(b, data); err != nil {
			return err
		}
		return json.Unmarshal(data, whole)
	}
	return newDecoder(b, b.gate.pacer).decodeAll(fields)
}

// decodeAll reads the text, which must contain one object.
func (d *Decoder) decodeAll(fields Fields) error {
	if err := d.Object(fields); err != nil {
		return err
	}
	if _, err := d.json.Token(); err != io.EOF {
		if err == nil {
			err = errTrailing
		}
		return err
	}
	return nil
}

// Decoder reads JSON token by token, so that its memory does not grow with the text.
type Decoder struct {
	json *json.Decoder
	text *compactor
}

func newDecoder(src io.Reader, pacer *Pacer) *Decoder {
	text := &compactor{src: src, pacer: pacer}
	d := &Decoder{json: json.NewDecoder(text), text: text}
	d.json.UseNumber()
	return d
}

// Object reads an object.
func (d *Decoder) Object(fields Fields) error {
	if err := d.open('{'); err != nil {
		return err
	}
	for d.json.More() {
		name, err := d.json.Token()
		if err != nil {
			return err
		}
		if err := d.value(fields.find(name.(string))); err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

func (f Fields) find(name string) any {
	if target, ok := f[name]; ok {
		return target
	}
	for known, target := range f {
		if strings.EqualFold(known, name) {
			return target
		}
	}
	return nil
}

func (d *Decoder) value(target any) error {
	switch target := target.(type) {
	case nil:
		return d.skip()
	case ReadValue:
		return target(d)
	}
	d.text.want(true)
	defer d.text.want(false)
	return d.json.Decode(target)
}

// Array reads an array, or null, with a call of element for each element.
func (d *Decoder) Array(element ReadValue) error {
	token, err := d.json.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return errors.New("an array is expected")
	}
	for d.json.More() {
		if err := element(d); err != nil {
			return err
		}
	}
	_, err = d.json.Token()
	return err
}

func (d *Decoder) open(delim json.Delim) error {
	token, err := d.json.Token()
	if err == nil && token != delim {
		err = errNoObject
	}
	return err
}

// skip reads a value that is not wanted.
func (d *Decoder) skip() error {
	d.text.skip()
	_, err := d.json.Token()
	return err
}

// The modes of a compactor.
const (
	// nameMode shortens strings to nameBytes.
	nameMode = iota
	// valueMode keeps all of a value up to maxValueBytes.
	valueMode
	// skipMode replaces a value by a zero.
	skipMode
)

// compactor is a reader that shortens JSON text for a decoder: values that are not wanted
// become a zero, and a run of white space one space. What it leaves out is checked for
// closed strings and brackets only; a decoder would take a hundred times longer, which
// clients could use to keep an entry from its work. A call of Read ends after each colon and
// comma, so that the decoder has not read a part of a value before its mode is set.
type compactor struct {
	src io.Reader
	err error
	in  [512]byte
	// pacer bounds the processor time for many large bodies at once; step counts the bytes read
	// in the present step.
	pacer   *Pacer
	step    int
	pending []byte

	mode int
	// emitted counts the bytes of a wanted value.
	emitted  int
	inString bool
	// escape counts the bytes that remain of an escape sequence; -1 is before its kind.
	escape int
	// dropped is set while the bytes of a string are left out.
	dropped bool
	// run is the length of the present string or literal; space follows white space.
	run   int
	space bool
	// last is the last byte that was kept outside of strings, other than white space.
	last byte
	// depth and skipped are those of a value that is skipped: its open brackets, and
	// whether anything of it has been read.
	depth   int
	skipped bool
}

// want says whether the text that follows is a value that is wanted.
func (c *compactor) want(wanted bool) {
	c.mode, c.emitted = nameMode, 0
	if wanted {
		c.mode = valueMode
	}
}

// skip leaves out the value that follows. Its colon may not have been read yet.
func (c *compactor) skip() { c.mode, c.depth, c.skipped = skipMode, 0, false }

// Read implements io.Reader.
func (c *compactor) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		if len(c.pending) == 0 {
			if n > 0 || c.err != nil {
				break
			}
			var got int
			got, c.err = c.src.Read(c.in[:])
			c.pending = c.in[:got]
			if c.step += got; c.step >= stepBytes {
				c.step = 0
				c.pacer.Take()
			}
			continue
		}
		if c.mode == skipMode && c.last == ':' {
			if c.skipPending() {
				p[n] = '0'
				n++
			}
			continue
		}
		char := c.pending[0]
		c.pending = c.pending[1:]
		keep, err := c.next(char)
		if err != nil {
			c.err, c.pending = err, nil
			break
		}
		if keep {
			p[n] = char
			n++
			if !c.inString && (char == ',' || char == ':') {
				break
			}
		}
	}
	if n == 0 {
		return 0, c.err
	}
	if err := c.count(n); err != nil {
		c.err, c.pending = err, nil
		return n, err
	}
	return n, nil
}

// skipPending leaves out what is pending of a skipped value, and ends the skipping before
// the comma or bracket that follows the value. It returns true at the end of a value, and
// false at that of a missing one.
func (c *compactor) skipPending() bool {
	for i, char := range c.pending {
		switch {
		case c.escape < 0:
			c.escape = 0
		case c.inString:
			if char == '"' {
				c.inString = false
			} else if char == '\\' {
				c.escape = -1
			}
		case char == '"':
			c.inString, c.skipped = true, true
		case char == '[' || char == '{':
			if c.depth++; c.depth > maxDepth {
				c.err, c.pending = errDepth, nil
				return false
			}
			c.skipped = true
		case c.depth == 0 && (char == ',' || char == ']' || char == '}'):
			c.pending, c.mode, c.last, c.space = c.pending[i:], nameMode, 0, false
			return c.skipped
		case char == ']' || char == '}':
			c.depth--
		case char > ' ':
			c.skipped = true
		}
	}
	c.pending = nil
	return false
}

// count bounds a wanted value.
func (c *compactor) count(n int) error {
	if c.mode != valueMode {
		return nil
	}
	c.emitted += n
	if c.emitted > maxValueBytes {
		return errValueTooLarge
	}
	return nil
}

// next reports whether a byte is kept.
func (c *compactor) next(char byte) (bool, error) {
	if c.inString {
		return c.nextInString(char), nil
	}
	switch char {
	case ' ', '\t', '\r', '\n':
		repeated := c.space
		c.space, c.run = true, 0
		return !repeated, nil
	case '"':
		c.inString, c.run, c.dropped = true, 0, false
	case ',', ':', '{', '}', '[', ']':
		c.run = 0
	default:
		if c.run++; c.run > maxLiteralBytes {
			return false, errLiteral
		}
	}
	c.space, c.last = false, char
	return true, nil
}

func (c *compactor) nextInString(char byte) bool {
	c.run++
	switch {
	case c.escape < 0:
		c.escape = 0
		if char == 'u' {
			c.escape = 4
		}
		return !c.dropped
	case c.escape > 0:
		c.escape--
		return !c.dropped
	case char == '"':
		c.inString, c.run = false, 0
		return true
	}
	c.dropped = c.mode == nameMode && c.run > nameBytes
	if char == '\\' {
		c.escape = -1
	}
	return !c.dropped
}
