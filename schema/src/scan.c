#include "scan.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Size of the part of a line that is scanned; the rest is ignored. */
#define LINE_MAX_BYTES 512

/* Position in a text; "number" and "key" belong to the line scanned last. */
struct line_scanner {
	const char *next;
	int number;
	char group[PRL_NAME_MAX * 2];
	char key[PRL_NAME_MAX];
};

static void copy_trimmed(char *out, size_t size, const char *from, size_t n)
{
	while (n && g_ascii_isspace(*from)) {
		from++;
		n--;
	}
	while (n && g_ascii_isspace(from[n - 1]))
		n--;
	if (n >= size)
		n = size - 1;
	memcpy(out, from, n);
	out[n] = 0;
}

/* Scans one line for a heading or a key; "group" keeps its value up to the next
 * heading. Returns 0 at the end of the text. */
static int next_line(struct line_scanner *l)
{
	char buf[LINE_MAX_BYTES] = "";
	const char *end;
	char *mark;

	if (!*l->next)
		return 0;
	end = strchrnul(l->next, '\n');
	copy_trimmed(buf, sizeof(buf), l->next, (size_t)(end - l->next));
	l->next = *end ? end + 1 : end;
	l->number++;
	l->key[0] = 0;
	if (buf[0] == '[') {
		mark = strrchr(buf, ']');
		if (mark)
			copy_trimmed(l->group, sizeof(l->group), buf + 1,
				     (size_t)(mark - buf - 1));
		return 1;
	}
	mark = buf[0] == '#' ? NULL : strchr(buf, '=');
	if (mark)
		copy_trimmed(l->key, sizeof(l->key), buf, (size_t)(mark - buf));
	return 1;
}

int schema_find_line(const char *text, const char *group, const char *key)
{
	struct line_scanner l = {.next = text};

	while (next_line(&l)) {
		if (strcmp(l.group, group))
			continue;
		if (!key || !strcmp(l.key, key))
			return l.number;
	}
	return 0;
}

static int starts_group(const struct line_scanner *l, const char *previous)
{
	return !l->key[0] && strcmp(previous, l->group) != 0;
}

void schema_check_duplicates(const char *text, struct prl_faults *faults)
{
	struct line_scanner l = {.next = text};
	char previous[PRL_NAME_MAX * 2] = "";
	int first;

	while (next_line(&l)) {
		if (starts_group(&l, previous)) {
			memcpy(previous, l.group, sizeof(previous));
			first = schema_find_line(text, l.group, NULL);
			if (first != l.number)
				prl_fault_add(faults, l.number, l.group, "",
					      "duplicate section, first on "
					      "line %d",
					      first);
		}
		if (!l.key[0])
			continue;
		first = schema_find_line(text, l.group, l.key);
		if (first != l.number)
			prl_fault_add(faults, l.number, l.group, l.key,
				      "duplicate key, first on line %d", first);
	}
}
