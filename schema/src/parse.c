#include "edit_distance.h"
#include "scan.h"
#include <apr_strings.h>
#include <errno.h>
#include <glib.h>
#include <primroselead/schema.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The text that is parsed. Its INI sections are called groups, as in GKeyFile;
 * a section is the description of a group in the schema. */
struct parser {
	GKeyFile *file;
	const char *text;
	struct prl_faults *faults;
};

/* The group that is parsed: its heading, the heading's line (0 if the text has
 * no such group) and the struct that is filled. */
struct group_parser {
	const struct parser *parser;
	const char *name;
	int line;
	char *out;
};

static void parse_int(const struct group_parser *g, const struct prl_key *k,
		      const char *value, int line)
{
	char *end;
	long long n;

	errno = 0;
	n = strtoll(value, &end, 10);
	if (end == value || *end || errno) {
		prl_fault_add(g->parser->faults, line, g->name, k->name,
			      "\"%s\" is not an integer from %lld to %lld %s",
			      value, (long long)k->min, (long long)k->max,
			      k->unit);
		return;
	}
	if (n < k->min || n > k->max) {
		prl_fault_add(g->parser->faults, line, g->name, k->name,
			      "value %lld is outside the range %lld to %lld %s",
			      n, (long long)k->min, (long long)k->max, k->unit);
		return;
	}
	*(int64_t *)(void *)(g->out + k->offset) = n;
}

static void parse_enum(const struct group_parser *g, const struct prl_key *k,
		       const char *value, int line)
{
	char allowed[160] = "";

	for (int i = 0; k->values[i]; i++) {
		if (!strcmp(k->values[i], value)) {
			*(int *)(void *)(g->out + k->offset) = i;
			return;
		}
		g_strlcat(allowed, i ? ", " : "", sizeof(allowed));
		g_strlcat(allowed, k->values[i], sizeof(allowed));
	}
	prl_fault_add(g->parser->faults, line, g->name, k->name,
		      "\"%s\" is not one of %s", value, allowed);
}

static void parse_string(const struct group_parser *g, const struct prl_key *k,
			 const char *value, int line, size_t size)
{
	size_t n = strlen(value);

	if (n == 0 || n >= size) {
		prl_fault_add(g->parser->faults, line, g->name, k->name,
			      "value has %zu bytes, 1 to %zu are allowed", n,
			      size - 1);
		return;
	}
	memcpy(g->out + k->offset, value, n + 1);
}

static void parse_address(const struct group_parser *g, const struct prl_key *k,
			  const char *value, int line)
{
	struct sockaddr_storage addr;
	socklen_t len;

	if (strlen(value) >= PRL_ADDRESS_MAX ||
	    prl_address_parse(value, &addr, &len)) {
		prl_fault_add(g->parser->faults, line, g->name, k->name,
			      "\"%.80s\" is not a numeric IP address and port "
			      "such as 127.0.0.1:80",
			      value);
		return;
	}
	strcpy(g->out + k->offset, value);
}

static void parse_list(const struct group_parser *g, const struct prl_key *k,
		       const char *value, int line)
{
	struct prl_list *list = (void *)(g->out + k->offset);
	gchar **part = g_strsplit(value, ",", -1);

	for (int i = 0; part[i]; i++) {
		char *name = g_strstrip(part[i]);

		if (!*name)
			continue;
		if (list->n == PRL_LIST_MAX || strlen(name) >= PRL_NAME_MAX) {
			prl_fault_add(g->parser->faults, line, g->name, k->name,
				      "\"%.80s\" is not a list of at most %d "
				      "names of at most %d bytes",
				      value, PRL_LIST_MAX, PRL_NAME_MAX - 1);
			break;
		}
		strcpy(list->item[list->n++], name);
	}
	g_strfreev(part);
}

static void parse_value(const struct group_parser *g, const struct prl_key *k,
			const char *value, int line)
{
	switch (k->type) {
	case PRL_TYPE_INT:
		parse_int(g, k, value, line);
		break;
	case PRL_TYPE_ENUM:
		parse_enum(g, k, value, line);
		break;
	case PRL_TYPE_STRING:
		parse_string(g, k, value, line, PRL_NAME_MAX);
		break;
	case PRL_TYPE_ADDRESS:
		parse_address(g, k, value, line);
		break;
	case PRL_TYPE_LIST:
		parse_list(g, k, value, line);
		break;
	case PRL_TYPE_NONE:
		break;
	}
}

static void parse_key(const struct group_parser *g, const struct prl_key *k)
{
	gchar *value = NULL;
	int line = 0;

	if (g->line)
		value = g_key_file_get_string(g->parser->file, g->name, k->name,
					      NULL);
	if (value) {
		line = schema_find_line(g->parser->text, g->name, k->name);
		parse_value(g, k, g_strstrip(value), line);
		g_free(value);
		return;
	}
	if (k->preset)
		parse_value(g, k, k->preset, 0);
	if (k->required)
		prl_fault_add(g->parser->faults, g->line, g->name, k->name,
			      "key is missing and has no default");
}

static const struct prl_key *find_key(const struct prl_section *s,
				      const char *name)
{
	for (const struct prl_key *k = s->keys; k->name; k++)
		if (!strcmp(k->name, name))
			return k;
	return NULL;
}

static const char *nearest_key(const struct prl_section *s, const char *name)
{
	const char *best = s->keys[0].name;
	int least = schema_edit_distance(best, name);

	for (const struct prl_key *k = s->keys; k->name; k++) {
		int d = schema_edit_distance(k->name, name);

		if (d < least) {
			least = d;
			best = k->name;
		}
	}
	return best;
}

static void report_unknown_keys(const struct parser *r, const char *group,
				const struct prl_section *s)
{
	gchar **keys = g_key_file_get_keys(r->file, group, NULL, NULL);

	for (int i = 0; keys && keys[i]; i++) {
		if (find_key(s, keys[i]))
			continue;
		prl_fault_add(r->faults,
			      schema_find_line(r->text, group, keys[i]), group,
			      keys[i],
			      "unknown key, the nearest known key is \"%s\"",
			      nearest_key(s, keys[i]));
	}
	g_strfreev(keys);
}

/* Whether a group's heading is that of a section: the section's name, followed
 * by a label if the section may be repeated. If so, sets the label. */
static int heading_matches(const struct prl_section *s, const char *group,
			   const char **label)
{
	size_t n = strlen(s->name);

	if (strncmp(group, s->name, n))
		return 0;
	*label = group + n;
	if (!s->many)
		return !**label;
	if (**label != ' ')
		return 0;
	while (**label == ' ')
		(*label)++;
	return **label != 0;
}

static const struct prl_section *find_section(const struct prl_schema *schema,
					      const char *group,
					      const char **label)
{
	for (const struct prl_section *s = schema->sections; s->name; s++)
		if (heading_matches(s, group, label))
			return s;
	return NULL;
}

static const char *nearest_section(const struct prl_schema *schema,
				   const char *group)
{
	const struct prl_section *best = schema->sections;

	for (const struct prl_section *s = schema->sections; s->name; s++)
		if (schema_edit_distance(s->name, group) <
		    schema_edit_distance(best->name, group))
			best = s;
	return best->name;
}

static void parse_group(const struct parser *r, const struct prl_section *s,
			const char *group, const char *label, char *out)
{
	struct group_parser g = {.parser = r, .name = group, .out = out};
	size_t n = strlen(label);

	g.line = schema_find_line(r->text, group, NULL);
	if (n >= PRL_NAME_MAX) {
		prl_fault_add(r->faults, g.line, group, "",
			      "label has %zu bytes, at most %d are allowed", n,
			      PRL_NAME_MAX - 1);
		n = PRL_NAME_MAX - 1;
	}
	/* Every section struct begins with the members "label" and "line". */
	snprintf(out, PRL_NAME_MAX, "%.*s", (int)n, label);
	memcpy(out + PRL_NAME_MAX, &g.line, sizeof(g.line));
	for (const struct prl_key *k = s->keys; k->name; k++)
		parse_key(&g, k);
	if (g.line)
		report_unknown_keys(r, group, s);
}

static void report_unknown_groups(const struct parser *r,
				  const struct prl_schema *schema,
				  gchar **groups)
{
	const char *label;

	for (int i = 0; groups[i]; i++) {
		if (find_section(schema, groups[i], &label))
			continue;
		prl_fault_add(r->faults,
			      schema_find_line(r->text, groups[i], NULL),
			      groups[i], "",
			      "unknown section, the nearest known section is "
			      "[%s]",
			      nearest_section(schema, groups[i]));
	}
}

static enum prl_code parse_repeated_section(const struct parser *r,
					    const struct prl_section *s,
					    gchar **groups, char *out,
					    apr_pool_t *pool)
{
	const char *label;
	char *array;
	int n = 0;

	for (int i = 0; groups[i]; i++)
		n += heading_matches(s, groups[i], &label);
	if (!n)
		return PRL_OK;
	array = apr_pcalloc(pool, (size_t)n * s->size);
	if (!array)
		return PRL_E_MEMORY;
	memcpy(out + s->offset, &array, sizeof(array));
	*(int *)(void *)(out + s->count_offset) = n;
	for (int i = 0; groups[i]; i++) {
		if (!heading_matches(s, groups[i], &label))
			continue;
		parse_group(r, s, groups[i], label, array);
		array += s->size;
	}
	return PRL_OK;
}

static enum prl_code parse_sections(const struct parser *r,
				    const struct prl_schema *schema, void *out,
				    apr_pool_t *pool)
{
	gchar **groups = g_key_file_get_groups(r->file, NULL);
	enum prl_code rc = PRL_OK;

	report_unknown_groups(r, schema, groups);
	for (const struct prl_section *s = schema->sections; s->name; s++) {
		if (s->many)
			rc = parse_repeated_section(r, s, groups, out, pool);
		else
			parse_group(r, s, s->name, "", (char *)out + s->offset);
		if (rc)
			break;
	}
	g_strfreev(groups);
	return rc;
}

enum prl_code prl_schema_parse(const struct prl_schema *schema,
			       const char *text, size_t len, void *out,
			       apr_pool_t *pool, struct prl_faults *faults,
			       struct prl_error *err)
{
	struct parser r = {.text = text, .faults = faults};
	GError *gerr = NULL;
	enum prl_code rc = PRL_OK;

	memset(out, 0, schema->size);
	if (memchr(text, 0, len)) {
		prl_fault_add(faults, 0, "", "", "text contains a null byte");
		return prl_error_set(err, PRL_E_CONFIG, "%s: not a text file",
				     faults->file);
	}
	r.file = g_key_file_new();
	if (!g_key_file_load_from_data(r.file, text, len, G_KEY_FILE_NONE,
				       &gerr)) {
		prl_fault_add(faults, 0, "", "", "%s", gerr->message);
		g_error_free(gerr);
	} else {
		schema_check_duplicates(text, faults);
		rc = parse_sections(&r, schema, out, pool);
	}
	g_key_file_free(r.file);
	if (rc)
		return prl_error_set(err, rc, "file \"%s\": out of memory",
				     faults->file);
	return prl_faults_error(faults, err);
}
