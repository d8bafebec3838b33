package daemon

import (
	"bytes"
	"io"
	"strconv"

	"github.com/phuslu/log"
)

var logLevels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// NewLogger returns a logger that writes each event to w as a line of key=value pairs.
func NewLogger(w io.Writer, level, process string) *log.Logger {
	return &log.Logger{
		Level:      logLevels[level],
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("process", process).Value(),
		Writer: &log.ConsoleWriter{
			Writer:    w,
			Formatter: formatLine,
		},
	}
}

// DiscardLogger returns a logger that discards all events, for tests and as the default
// of packages that were given no logger.
func DiscardLogger() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// formatLine writes one event as key=value pairs. The default formatter of the library
// omits "=true" for true values and appends an empty message to every line.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	b.WriteString("time=" + args.Time + " level=" + args.Level)
	for _, kv := range args.KeyValues {
		b.WriteString(" " + kv.Key + "=")
		switch kv.ValueType {
		case 't':
			b.WriteString("true")
		case 'f':
			b.WriteString("false")
		case 'n', 'S':
			b.WriteString(kv.Value)
		default:
			b.WriteString(strconv.Quote(kv.Value))
		}
	}
	if args.Message != "" {
		b.WriteString(" message=" + strconv.Quote(args.Message))
	}
	b.WriteByte('\n')
	return out.Write(b.Bytes())
}
