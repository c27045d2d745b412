#include "scenario.h"
#include <stddef.h>
#include <string.h>

#define US_PER_MS 1000
#define US_PER_S 1000000

/* How a number is stored. */
enum number_form {
	FORM_INT,
	/** Milliseconds in the file, microseconds in the struct. */
	FORM_MS,
	/** Seconds in the file. */
	FORM_S,
	FORM_DOUBLE,
};

/* A number of a section. */
struct number {
	const char *name;
	enum number_form form;
	size_t at;
	int64_t least;
	int64_t most;
};

#define AT(type, field) offsetof(struct type, field)

static const struct number fleet_numbers[] = {
	{"regions", FORM_INT, AT(scenario, regions), 1, SCENARIO_REGIONS_MAX},
	{"vms", FORM_INT, AT(scenario, vms), 1, 64},
	{"upstreams", FORM_INT, AT(scenario, upstreams), 1, 256},
	{"slots", FORM_INT, AT(scenario, slots), 1, 1000},
	{"queue", FORM_INT, AT(scenario, queue), 0, 10000},
	{"keep", FORM_INT, AT(scenario, keep), 0, 1000},
	{"gain", FORM_INT, AT(scenario, gain), 0, 999},
	{"speeds", FORM_INT, AT(scenario, speeds), 0, 900},
	{"near_ms", FORM_MS, AT(scenario, near_us), 0, 1000},
	{"far_ms", FORM_MS, AT(scenario, far_us), 0, 1000},
	{"connections", FORM_INT, AT(scenario, connections), 0, 100000},
};

static const struct number load_numbers[] = {
	{"rate", FORM_DOUBLE, AT(scenario, rate), 1, 100000},
	{"swing", FORM_INT, AT(scenario, swing), 0, 1000},
	{"period_s", FORM_S, AT(scenario, period_us), 1, 3600},
	{"length_s", FORM_S, AT(scenario, length_us), 1, 3600},
	{"attempts", FORM_INT, AT(scenario, attempts), 1, 8},
	{"returns", FORM_INT, AT(scenario, returns), 0, 8},
	{"impatient", FORM_INT, AT(scenario, impatient), 0, 1},
};

static const struct number kind_numbers[] = {
	{"share", FORM_INT, AT(scenario_kind, share), 1, 1000},
	{"work_ms", FORM_MS, AT(scenario_kind, work_us), 1, 60000},
	{"vary", FORM_INT, AT(scenario_kind, vary), 0, 1000},
	{"objective_ms", FORM_MS, AT(scenario_kind, objective_us), 1, 60000},
	{"deadline_ms", FORM_MS, AT(scenario_kind, deadline_us), 1, 60000},
	{"worth", FORM_INT, AT(scenario_kind, worth), 1, 1000},
	{"late", FORM_INT, AT(scenario_kind, late), 0, 1000},
	{"priority", FORM_INT, AT(scenario_kind, priority), 1, 9},
	{"objects", FORM_INT, AT(scenario_kind, objects), 0, 100000},
	{"once", FORM_INT, AT(scenario_kind, once), 0, 1},
};

static const struct number trouble_numbers[] = {
	{"from_s", FORM_S, AT(scenario_trouble, from_us), 0, 3600},
	{"until_s", FORM_S, AT(scenario_trouble, until_us), 0, 3600},
	{"share", FORM_INT, AT(scenario_trouble, share), 0, 1000},
	{"factor", FORM_INT, AT(scenario_trouble, factor), 1, 100000},
	{"region", FORM_INT, AT(scenario_trouble, region), -1,
	 SCENARIO_REGIONS_MAX - 1},
};

static const char *const trouble_names[] = {
	[SCENARIO_SLOW] = "slow",	[SCENARIO_GONE] = "gone",
	[SCENARIO_FAILING] = "failing", [SCENARIO_SILENT] = "silent",
	[SCENARIO_LYING] = "lying",	[SCENARIO_BURST] = "burst",
};

static void store_number(const struct number *n, int64_t value, void *to)
{
	void *at = (char *)to + n->at;

	switch (n->form) {
	case FORM_INT:
		*(int *)at = (int)value;
		break;
	case FORM_MS:
		*(int64_t *)at = value * US_PER_MS;
		break;
	case FORM_S:
		*(int64_t *)at = value * US_PER_S;
		break;
	case FORM_DOUBLE:
		*(double *)at = (double)value;
		break;
	}
}

static enum prl_code read_numbers(GKeyFile *file, const char *group,
				  const struct number *numbers, size_t n,
				  void *to, struct prl_error *err)
{
	for (size_t i = 0; i < n; i++) {
		GError *wrong = NULL;
		int64_t value = g_key_file_get_int64(file, group,
						     numbers[i].name, &wrong);

		if (wrong) {
			g_error_free(wrong);
			return prl_fail(err, PRL_E_CONFIG,
					"section \"%s\" has no number \"%s\"",
					group, numbers[i].name);
		}
		if (value < numbers[i].least || value > numbers[i].most)
			return prl_fail(
				err, PRL_E_CONFIG,
				"\"%s\" of section \"%s\" is not between %lld "
				"and %lld",
				numbers[i].name, group,
				(long long)numbers[i].least,
				(long long)numbers[i].most);
		store_number(&numbers[i], value, to);
	}
	return PRL_OK;
}

static enum prl_code read_kind(GKeyFile *file, const char *group,
			       struct scenario *s, struct prl_error *err)
{
	struct scenario_kind *k = &s->kind[s->nkind];

	if (s->nkind == SCENARIO_KINDS_MAX)
		return prl_fail(err, PRL_E_CONFIG,
				"there are more than %d kinds of requests",
				SCENARIO_KINDS_MAX);
	g_strlcpy(k->name, group + strlen("kind "), sizeof(k->name));
	s->nkind++;
	return read_numbers(file, group, kind_numbers,
			    G_N_ELEMENTS(kind_numbers), k, err);
}

static enum prl_code read_trouble(GKeyFile *file, const char *group,
				  struct scenario *s, struct prl_error *err)
{
	struct scenario_trouble *t = &s->trouble[s->ntrouble];
	char *what = g_key_file_get_string(file, group, "what", NULL);
	size_t i = 0;

	if (s->ntrouble == SCENARIO_TROUBLES_MAX) {
		g_free(what);
		return prl_fail(err, PRL_E_CONFIG,
				"there are more than %d troubles",
				SCENARIO_TROUBLES_MAX);
	}
	while (i < G_N_ELEMENTS(trouble_names) &&
	       g_strcmp0(what, trouble_names[i]) != 0)
		i++;
	g_free(what);
	if (i == G_N_ELEMENTS(trouble_names))
		return prl_fail(err, PRL_E_CONFIG,
				"section \"%s\" names no trouble in \"what\"",
				group);
	t->what = (enum scenario_what)i;
	s->ntrouble++;
	return read_numbers(file, group, trouble_numbers,
			    G_N_ELEMENTS(trouble_numbers), t, err);
}

static enum prl_code read_sections(GKeyFile *file, struct scenario *s,
				   struct prl_error *err)
{
	char **group = g_key_file_get_groups(file, NULL);
	enum prl_code rc = read_numbers(file, "fleet", fleet_numbers,
					G_N_ELEMENTS(fleet_numbers), s, err);

	if (!rc)
		rc = read_numbers(file, "load", load_numbers,
				  G_N_ELEMENTS(load_numbers), s, err);
	for (int i = 0; !rc && group[i]; i++) {
		if (g_str_has_prefix(group[i], "kind "))
			rc = read_kind(file, group[i], s, err);
		else if (g_str_has_prefix(group[i], "trouble "))
			rc = read_trouble(file, group[i], s, err);
	}
	g_strfreev(group);
	if (!rc && !s->nkind)
		rc = prl_fail(err, PRL_E_CONFIG, "there is no kind");
	return rc;
}

static enum prl_code load(const char *path, GKeyFile *file,
			  struct prl_error *err)
{
	GError *wrong = NULL;
	enum prl_code rc;

	if (g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &wrong))
		return PRL_OK;
	rc = prl_fail(err, PRL_E_IO, "file \"%s\": %s", path, wrong->message);
	g_error_free(wrong);
	return rc;
}

/* Puts the values of one file in the place of another's. */
static void lay_over(GKeyFile *below, GKeyFile *file)
{
	char **group = g_key_file_get_groups(file, NULL);

	for (int g = 0; group[g]; g++) {
		char **key = g_key_file_get_keys(file, group[g], NULL, NULL);

		for (int i = 0; key[i]; i++) {
			char *value = g_key_file_get_value(file, group[g],
							   key[i], NULL);

			g_key_file_set_value(below, group[g], key[i], value);
			g_free(value);
		}
		g_strfreev(key);
	}
	g_strfreev(group);
}

/* Reads a file that is like another one beside it, but for what it says. */
static enum prl_code read_like(const char *path, const char *like,
			       GKeyFile *file, struct scenario *s,
			       struct prl_error *err)
{
	GKeyFile *below = g_key_file_new();
	char *dir = g_path_get_dirname(path);
	char *base = g_build_filename(dir, like, NULL);
	enum prl_code rc = load(base, below, err);

	if (!rc) {
		lay_over(below, file);
		rc = read_sections(below, s, err);
	}
	g_free(base);
	g_free(dir);
	g_key_file_free(below);
	return rc;
}

enum prl_code scenario_read(const char *path, struct scenario *s,
			    struct prl_error *err)
{
	GKeyFile *file = g_key_file_new();
	enum prl_code rc = load(path, file, err);
	char *like = g_key_file_get_string(file, "scenario", "like", NULL);

	memset(s, 0, sizeof(*s));
	if (!rc)
		rc = like ? read_like(path, like, file, s, err)
			  : read_sections(file, s, err);
	g_free(like);
	g_key_file_free(file);
	return rc;
}

int scenario_factor(const struct scenario *s, enum scenario_what what,
		    int region, int rank, int64_t at_us)
{
	for (int i = 0; i < s->ntrouble; i++) {
		const struct scenario_trouble *t = &s->trouble[i];

		if (t->what == what && at_us >= t->from_us &&
		    at_us < t->until_us && rank < t->share &&
		    (t->region < 0 || t->region == region))
			return t->factor;
	}
	return 0;
}
