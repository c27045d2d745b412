#include <primroselead/log_lines.h>
#include <stdlib.h>
#include <string.h>

void log_lines_read(FILE *f, void (*each)(void *ctx, json_t *line), void *ctx)
{
	char *text = NULL;
	size_t size = 0;

	while (getline(&text, &size, f) > 0) {
		const char *at = strchr(text, '{');
		json_t *line = at ? json_loads(at, JSON_DISABLE_EOF_CHECK, NULL)
				  : NULL;

		if (line)
			each(ctx, line);
		json_decref(line);
	}
	free(text);
}

const char *log_line_text(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

int64_t log_line_time_ms(const json_t *line)
{
	return json_integer_value(json_object_get(line, "time"));
}
