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

#define FIELDS_MAX 24

/* Lines of one kind that may pass a second, and at once. */
#define RATE_MAX 200
#define BURST 400

/* Kinds of lines that are told apart. */
#define KINDS_MAX 48

static char vm_name[64] = "";
static _Atomic long long audit_number;
static _Atomic long long lost;

static const char *const level_names[] = {"debug", "info", "warning", "error",
					  "audit"};

static const GLogLevelFlags level_flags[] = {
	G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_MESSAGE};

/* Lines of one kind that have passed and been left out. */
struct kind {
	const char *event;
	int64_t refilled_ms;
	int64_t credit;
	long long dropped;
};

static pthread_mutex_t kinds_lock = PTHREAD_MUTEX_INITIALIZER;
static struct kind kinds[KINDS_MAX];

static struct kind *find_kind(const char *event)
{
	for (int i = 0; i < KINDS_MAX; i++) {
		if (!kinds[i].event) {
			kinds[i].event = event;
			kinds[i].credit = BURST;
			return &kinds[i];
		}
		if (!strcmp(kinds[i].event, event))
			return &kinds[i];
	}
	/* All further kinds share the last one. */
	return &kinds[KINDS_MAX - 1];
}

/* Takes a place for a line. Returns the lines left out since the last one, or
 * -1 if this one must be left out, too. */
static long long take_place(const char *event, int64_t now)
{
	struct kind *k = find_kind(event);
	int64_t more = (now - k->refilled_ms) * RATE_MAX / 1000;
	long long dropped = k->dropped;

	if (more > 0) {
		k->credit += more;
		k->refilled_ms = now;
	}
	if (k->credit > BURST)
		k->credit = BURST;
	if (!k->credit) {
		k->dropped++;
		return -1;
	}
	k->credit--;
	k->dropped = 0;
	return dropped;
}

/* Whether a line fits without waiting for whoever reads the output. */
static int has_room(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && p.revents & POLLOUT;
}

/* One call a line, so that lines of several threads do not mix. A line that
 * does not fit is lost: a request must not wait for it. */
static void write_text(char *text)
{
	size_t n = strlen(text);

	/* The end of the text is its own; the line's end takes its place. */
	text[n] = '\n';
	if (!has_room() || write(STDOUT_FILENO, text, n + 1) < 0)
		atomic_fetch_add(&lost, 1);
}

void log_number(char out[LOG_NUMBER_MAX], long long n)
{
	snprintf(out, LOG_NUMBER_MAX, "%lld", n);
}

long long log_lost(void)
{
	return atomic_load(&lost);
}

static int is_internal(const char *key)
{
	return !strcmp(key, "PRIORITY") || !strcmp(key, "GLIB_DOMAIN");
}

/* GLib hands every line here; fields become members of one JSON object. */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n, void *ctx)
{
	json_t *line = json_object();
	char *text;

	(void)level;
	(void)ctx;
	json_object_set_new(line, "time", json_integer(prl_wall_ms()));
	json_object_set_new(line, "vm", json_string(vm_name));
	for (gsize i = 0; i < n; i++) {
		if (fields[i].length != -1 || is_internal(fields[i].key))
			continue;
		json_object_set_new(line, fields[i].key,
				    json_string(fields[i].value));
	}
	text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(line);
	if (!text)
		return G_LOG_WRITER_UNHANDLED;
	write_text(text);
	free(text);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *vm)
{
	snprintf(vm_name, sizeof(vm_name), "%s", vm);
	g_log_set_writer_func(write_line, NULL, NULL);
}

static int add(GLogField *f, int n, const char *key, const char *value)
{
	f[n] = (GLogField){
		.key = key, .value = value ? value : "", .length = -1};
	return n + 1;
}

void log_event(enum log_level level, const char *event, ...)
{
	GLogField f[FIELDS_MAX];
	char number[24];
	char left_out[24];
	const char *key;
	long long dropped;
	va_list ap;
	int n = 0;

	pthread_mutex_lock(&kinds_lock);
	dropped = take_place(event, prl_now_ms());
	pthread_mutex_unlock(&kinds_lock);
	if (dropped < 0)
		return;
	n = add(f, n, "level", level_names[level]);
	n = add(f, n, "event", event);
	if (level == LOG_AUDIT_LINE) {
		snprintf(number, sizeof(number), "%lld",
			 (long long)atomic_fetch_add(&audit_number, 1) + 1);
		n = add(f, n, "audit", number);
	}
	if (dropped) {
		snprintf(left_out, sizeof(left_out), "%lld", dropped);
		n = add(f, n, "left_out", left_out);
	}
	va_start(ap, event);
	while (n < FIELDS_MAX && (key = va_arg(ap, const char *)))
		n = add(f, n, key, va_arg(ap, const char *));
	va_end(ap);
	g_log_structured_array(level_flags[level], f, (gsize)n);
}
