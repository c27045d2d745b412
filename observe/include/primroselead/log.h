#ifndef PRIMROSELEAD_LOG_H
#define PRIMROSELEAD_LOG_H

/** Severity of a log line. */
enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARNING,
	LOG_LEVEL_ERROR,
	/** A change of configuration, shift, drain, grant or membership. These
	 * lines form the audit trail and have consecutive numbers ("audit"). */
	LOG_LEVEL_AUDIT,
};

/** Makes GLib's logging write JSON lines with the name of the VM to standard
 * output. */
void log_init(const char *vm);

/**
 * Writes a line with an event, which must be a string literal, and pairs of key
 * and value, both strings, up to a null key. May be called from any thread and
 * does not block: a line is dropped if standard output is not writable. Each
 * event has a token bucket of 200 lines per second and a burst of 400; the
 * event's next line that is written gives the number of lines that the rate
 * limit dropped ("left_out").
 */
void log_event(enum log_level level, const char *event, ...)
	__attribute__((sentinel));

/** Size of a formatted number in bytes, including the terminating null byte. */
#define LOG_NUMBER_MAX 24

/** Formats a number as the value of a log line's key. */
void log_format_number(char out[LOG_NUMBER_MAX], long long n);

/** Returns the number of lines dropped because standard output was not
 * writable; lines dropped by the rate limit are not counted. */
long long log_lost_lines(void);

#endif
