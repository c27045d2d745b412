#ifndef PRIMROSELEAD_LOG_H
#define PRIMROSELEAD_LOG_H

/** Weight of a log line. */
enum log_level {
	LOG_DEBUG_LINE,
	LOG_INFO_LINE,
	LOG_WARNING_LINE,
	LOG_ERROR_LINE,
	/** A change of configuration, shift, drain, grant or membership; these
	 * lines form the audit trail and are numbered. */
	LOG_AUDIT_LINE,
};

/** Makes GLib's logging write JSON lines to standard output; the name of the
 * VM is put into each. */
void log_init(const char *vm);

/**
 * Writes one line: an event, which must be a literal, then pairs of key and
 * value up to a null key. Callable from any thread; never waits. Lines of one
 * event pass at a bounded rate; the next that passes says how many were left
 * out before it ("left_out").
 */
void log_event(enum log_level level, const char *event, ...)
	__attribute__((sentinel));

/** Size of a number's text in a line, its end included. */
#define LOG_NUMBER_MAX 24

/** Writes a number as the value of a line's key. */
void log_number(char out[LOG_NUMBER_MAX], long long n);

/** Lines that were lost because the output was not read. */
long long log_lost(void);

#endif
