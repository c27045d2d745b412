#include <inttypes.h>
#include <primroselead/config.h>
#include <stdio.h>
#include <string.h>

/* Begins each line of the header; a comment to every reader of INI files. */
#define MARK "# publication "

char *config_wrap(const struct config_history *h, const char *text)
{
	GString *out = g_string_new("");

	for (int i = 0; i < h->n; i++) {
		const struct config_publication *p = &h->entry[i];

		g_string_append_printf(
			out,
			MARK "%s replaced %" PRId64 " at %" PRId64
			     " digest %016" PRIx64 " by %s\n",
			p->id, p->replaced, p->at_ms, p->digest, p->by);
	}
	g_string_append(out, text);
	return g_string_free(out, FALSE);
}

static int read_line(const char *line, struct config_publication *p)
{
	memset(p, 0, sizeof(*p));
	return sscanf(line,
		      MARK "%19s replaced %" SCNd64 " at %" SCNd64
			   " digest %" SCNx64 " by %63[^\n]",
		      p->id, &p->replaced, &p->at_ms, &p->digest, p->by) == 5;
}

const char *config_unwrap(const char *value, struct config_history *h)
{
	h->n = 0;
	while (!strncmp(value, MARK, strlen(MARK))) {
		const char *end = strchr(value, '\n');

		if (h->n < CONFIG_HISTORY_MAX &&
		    read_line(value, &h->entry[h->n]))
			h->n++;
		if (!end)
			return value + strlen(value);
		value = end + 1;
	}
	return value;
}

void config_history_add(struct config_history *h,
			const struct config_publication *p)
{
	int keep = h->n < CONFIG_HISTORY_MAX ? h->n : CONFIG_HISTORY_MAX - 1;

	memmove(&h->entry[1], &h->entry[0], (size_t)keep * sizeof(*p));
	h->entry[0] = *p;
	h->n = keep + 1;
}
