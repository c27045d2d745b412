/* Records as names and values of the store's objects. */
#include <jansson.h>
#include <primroselead/quarantine.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Greatest clearance and number of trials that are accepted. */
#define NUMBER_MAX 1000000000

void quarantine_name_format(const struct prl_hash128 *digest,
			    char out[QUARANTINE_NAME_MAX])
{
	snprintf(out, QUARANTINE_NAME_MAX, "%016llx%016llx",
		 (unsigned long long)digest->high,
		 (unsigned long long)digest->low);
}

/* Reads "digits" hexadecimal digits. Returns 0 or -1. */
static int read_hex(const char *text, size_t digits, uint64_t *out)
{
	char copy[17];

	if (strspn(text, "0123456789abcdef") < digits)
		return -1;
	memcpy(copy, text, digits);
	copy[digits] = 0;
	*out = strtoull(copy, NULL, 16);
	return 0;
}

int quarantine_name_parse(const char *text, struct prl_hash128 *out)
{
	if (strlen(text) != QUARANTINE_NAME_MAX - 1 ||
	    read_hex(text, 16, &out->high) ||
	    read_hex(text + 16, 16, &out->low))
		return -1;
	return 0;
}

static json_t *hex_string(uint64_t n)
{
	char text[17];

	snprintf(text, sizeof(text), "%016llx", (unsigned long long)n);
	return json_string(text);
}

char *quarantine_record_format(const struct quarantine_record *r,
			       const char *about)
{
	json_t *crashes = json_array();
	json_t *root;
	char *text;

	for (int i = 0; i < r->ncrash; i++)
		json_array_append_new(crashes, hex_string(r->crash[i]));
	root = json_pack("{s:s, s:o, s:I, s:o, s:i}", "about", about, "head",
			 hex_string(r->head), "clearance",
			 (json_int_t)r->clearance, "crashes", crashes, "trials",
			 r->ntrial);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static int read_hex_json(const json_t *value, uint64_t *out)
{
	const char *text = json_string_value(value);

	return !text || strlen(text) != 16 || read_hex(text, 16, out);
}

static int read_crashes(const json_t *array, struct quarantine_record *out)
{
	size_t n = json_array_size(array);

	if (!json_is_array(array) || n > QUARANTINE_CRASHES)
		return -1;
	for (size_t i = 0; i < n; i++) {
		uint64_t *to = &out->crash[i];

		if (read_hex_json(json_array_get(array, i), to) ||
		    (i && to[-1] >= to[0]))
			return -1;
	}
	out->ncrash = (int)n;
	return 0;
}

static int read_count(const json_t *value, int64_t *out)
{
	if (!json_is_integer(value))
		return -1;
	*out = json_integer_value(value);
	return *out < 0 || *out > NUMBER_MAX ? -1 : 0;
}

static int read_record(const json_t *root, struct quarantine_record *out)
{
	int64_t trials = 0;

	if (read_hex_json(json_object_get(root, "head"), &out->head) ||
	    read_count(json_object_get(root, "clearance"), &out->clearance) ||
	    read_crashes(json_object_get(root, "crashes"), out) ||
	    read_count(json_object_get(root, "trials"), &trials))
		return -1;
	out->ntrial = (int)trials;
	return 0;
}

enum prl_code quarantine_record_parse(const char *name, const char *value,
				      struct quarantine_record *out,
				      char about[QUARANTINE_ABOUT_MAX],
				      struct prl_error *err)
{
	json_t *root = json_loads(value, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "about"));
	int rc;

	memset(out, 0, sizeof(*out));
	rc = quarantine_name_parse(name, &out->digest) ||
	     read_record(root, out);
	snprintf(about, QUARANTINE_ABOUT_MAX, "%s", text ? text : "");
	json_decref(root);
	if (rc)
		return prl_error_set(err, PRL_E_PROTOCOL,
				     "quarantine \"%.40s\" is not valid", name);
	return PRL_OK;
}
