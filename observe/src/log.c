#include <glib.h>
#include <jansson.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIELDS_MAX 24

static char vm_name[64] = "";
static _Atomic long long audit_number;

static const char *const level_names[] = {"debug", "info", "warning", "error",
					  "audit"};

static const GLogLevelFlags level_flags[] = {
	G_LOG_LEVEL_DEBUG, G_LOG_LEVEL_INFO, G_LOG_LEVEL_WARNING,
	G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_MESSAGE};

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
	/* One call a line: lines of several threads do not mix. */
	printf("%s\n", text);
	fflush(stdout);
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
	const char *key;
	va_list ap;
	int n = 0;

	n = add(f, n, "level", level_names[level]);
	n = add(f, n, "event", event);
	if (level == LOG_AUDIT_LINE) {
		snprintf(number, sizeof(number), "%lld",
			 (long long)atomic_fetch_add(&audit_number, 1) + 1);
		n = add(f, n, "audit", number);
	}
	va_start(ap, event);
	while (n < FIELDS_MAX && (key = va_arg(ap, const char *)))
		n = add(f, n, key, va_arg(ap, const char *));
	va_end(ap);
	g_log_structured_array(level_flags[level], f, (gsize)n);
}
