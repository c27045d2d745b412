#include <inttypes.h>
#include <primroselead/config.h>
#include <stdio.h>
#include <string.h>

/* Prefix of each header line; an INI parser takes the line as a comment. */
#define HEADER_PREFIX "# publication "

char *config_history_prepend(const struct config_history *h, const char *text)
{
	GString *out = g_string_new("");

	for (int i = 0; i < h->npublication; i++) {
		const struct config_publication *p = &h->publication[i];

		g_string_append_printf(
			out,
			HEADER_PREFIX "%s replaced %" PRId64 " at %" PRId64
				      " digest %016" PRIx64 " by %s\n",
			p->id, p->replaced_version, p->published_ms, p->digest,
			p->publisher);
	}
	g_string_append(out, text);
	return g_string_free(out, FALSE);
}

static int parse_header_line(const char *line, struct config_publication *p)
{
	memset(p, 0, sizeof(*p));
	return sscanf(line,
		      HEADER_PREFIX "%19s replaced %" SCNd64 " at %" SCNd64
				    " digest %" SCNx64 " by %63[^\n]",
		      p->id, &p->replaced_version, &p->published_ms, &p->digest,
		      p->publisher) == 5;
}

const char *config_history_parse(const char *value, struct config_history *h)
{
	h->npublication = 0;
	while (!strncmp(value, HEADER_PREFIX, strlen(HEADER_PREFIX))) {
		const char *end = strchr(value, '\n');

		if (h->npublication < CONFIG_HISTORY_MAX &&
		    parse_header_line(value, &h->publication[h->npublication]))
			h->npublication++;
		if (!end)
			return value + strlen(value);
		value = end + 1;
	}
	return value;
}

void config_history_add(struct config_history *h,
			const struct config_publication *p)
{
	int keep = h->npublication < CONFIG_HISTORY_MAX
			   ? h->npublication
			   : CONFIG_HISTORY_MAX - 1;

	memmove(&h->publication[1], &h->publication[0],
		(size_t)keep * sizeof(*p));
	h->publication[0] = *p;
	h->npublication = keep + 1;
}
