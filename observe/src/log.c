#include <glib.h>
#include <jansson.h>
#include <poll.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Maximum number of fields of a line, "level" and "event" included; further
 * fields are omitted. */
#define FIELDS_MAX 32

/* Token bucket of an event: lines per second on average, and in a burst. */
#define LINES_PER_S 200
#define BURST_LINES 400

/* Maximum number of token buckets; find_bucket() assigns one to each event. */
#define EVENTS_MAX 48

static char vm_name[64] = "";
static _Atomic long long audit_sequence;
static _Atomic long long lost_lines;

static const char *const level_names[] = {"debug", "info", "warning", "error",
					  "audit"};

static const GLogLevelFlags level_flags[] = {
	G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_MESSAGE};

/* Token bucket of an event, and the lines dropped since the last one written.
 */
struct event_bucket {
	const char *event;
	int64_t refilled_ms;
	int64_t tokens;
	long long dropped;
};

static pthread_mutex_t buckets_lock = PTHREAD_MUTEX_INITIALIZER;
static struct event_bucket buckets[EVENTS_MAX];

static struct event_bucket *find_bucket(const char *event)
{
	for (int i = 0; i < EVENTS_MAX; i++) {
		if (!buckets[i].event) {
			buckets[i].event = event;
			buckets[i].tokens = BURST_LINES;
			return &buckets[i];
		}
		if (!strcmp(buckets[i].event, event))
			return &buckets[i];
	}
	/* The table is full: further events share the last bucket. */
	return &buckets[EVENTS_MAX - 1];
}

/* Takes a token for a line. Returns the number of lines dropped since the last
 * one written, or -1 if this line must be dropped, too. */
static long long take_token(const char *event, int64_t now)
{
	struct event_bucket *b = find_bucket(event);
	int64_t refill = (now - b->refilled_ms) * LINES_PER_S / 1000;
	long long dropped = b->dropped;

	if (refill > 0) {
		b->tokens += refill;
		b->refilled_ms = now;
	}
	if (b->tokens > BURST_LINES)
		b->tokens = BURST_LINES;
	if (!b->tokens) {
		b->dropped++;
		return -1;
	}
	b->tokens--;
	b->dropped = 0;
	return dropped;
}

/* Whether standard output can be written to without blocking. */
static int output_is_writable(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && p.revents & POLLOUT;
}

/* Writes a line by a single write(), so that lines of several threads are not
 * interleaved. A line is dropped if the output is not writable, since a request
 * must not wait for its log lines. */
static void write_output(char *text)
{
	size_t n = strlen(text);

	/* The newline replaces the terminating null byte. */
	text[n] = '\n';
	if (!output_is_writable() || write(STDOUT_FILENO, text, n + 1) < 0)
		atomic_fetch_add(&lost_lines, 1);
}

void log_format_number(char out[LOG_NUMBER_MAX], long long n)
{
	snprintf(out, LOG_NUMBER_MAX, "%lld", n);
}

long long log_lost_lines(void)
{
	return atomic_load(&lost_lines);
}

static int is_glib_field(const char *key)
{
	return !strcmp(key, "PRIORITY") || !strcmp(key, "GLIB_DOMAIN");
}

/* GLib's log writer: writes the fields of a message as a JSON object. */
static GLogWriterOutput write_json_line(GLogLevelFlags level,
					const GLogField *fields, gsize n,
					void *ctx)
{
	json_t *line = json_object();
	char *text;

	(void)level;
	(void)ctx;
	json_object_set_new(line, "time", json_integer(prl_wall_ms()));
	json_object_set_new(line, "vm", json_string(vm_name));
	for (gsize i = 0; i < n; i++) {
		if (fields[i].length != -1 || is_glib_field(fields[i].key))
			continue;
		json_object_set_new(line, fields[i].key,
				    json_string(fields[i].value));
	}
	text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(line);
	if (!text)
		return G_LOG_WRITER_UNHANDLED;
	write_output(text);
	free(text);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *vm)
{
	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	g_log_set_writer_func(write_json_line, NULL, NULL);
}

static int add_field(GLogField *f, int n, const char *key, const char *value)
{
	f[n] = (GLogField){
		.key = key, .value = value ? value : "", .length = -1};
	return n + 1;
}

void log_event(enum log_level level, const char *event, ...)
{
	GLogField f[FIELDS_MAX];
	char number[LOG_NUMBER_MAX];
	char left_out[LOG_NUMBER_MAX];
	const char *key;
	long long dropped;
	va_list ap;
	int n = 0;

	pthread_mutex_lock(&buckets_lock);
	dropped = take_token(event, prl_now_ms());
	pthread_mutex_unlock(&buckets_lock);
	if (dropped < 0)
		return;
	n = add_field(f, n, "level", level_names[level]);
	n = add_field(f, n, "event", event);
	if (level == LOG_LEVEL_AUDIT) {
		snprintf(number, sizeof(number), "%lld",
			 (long long)atomic_fetch_add(&audit_sequence, 1) + 1);
		n = add_field(f, n, "audit", number);
	}
	if (dropped) {
		snprintf(left_out, sizeof(left_out), "%lld", dropped);
		n = add_field(f, n, "left_out", left_out);
	}
	va_start(ap, event);
	while (n < FIELDS_MAX && (key = va_arg(ap, const char *)))
		n = add_field(f, n, key, va_arg(ap, const char *));
	va_end(ap);
	g_log_structured_array(level_flags[level], f, (gsize)n);
}
