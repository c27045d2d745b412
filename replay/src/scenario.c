#include "scenario.h"
#include <stddef.h>
#include <string.h>

#define US_PER_MS 1000
#define US_PER_S 1000000

/* Unit in the file and type in the struct. */
enum number_type {
	NUMBER_INT,
	/** Milliseconds in the file, int64_t of microseconds in the struct. */
	NUMBER_MS,
	/** Seconds in the file, int64_t of microseconds in the struct. */
	NUMBER_S,
	NUMBER_DOUBLE,
};

/* A key of a section with its field and its range in the file's unit. */
struct number {
	const char *name;
	enum number_type type;
	size_t offset;
	int64_t min;
	int64_t max;
};

#define AT(type, field) offsetof(struct type, field)

static const struct number fleet_numbers[] = {
	{"regions", NUMBER_INT, AT(scenario, nregion), 1, SCENARIO_REGIONS_MAX},
	{"vms", NUMBER_INT, AT(scenario, vms_per_region), 1, 64},
	{"upstreams", NUMBER_INT, AT(scenario, upstreams_per_region), 1, 256},
	{"slots", NUMBER_INT, AT(scenario, slots), 1, 1000},
	{"queue", NUMBER_INT, AT(scenario, queue_max), 0, 10000},
	{"keep", NUMBER_INT, AT(scenario, cache_objects), 0, 1000},
	{"gain", NUMBER_INT, AT(scenario, cache_gain_permille), 0, 999},
	{"speeds", NUMBER_INT, AT(scenario, speed_spread_permille), 0, 900},
	{"near_ms", NUMBER_MS, AT(scenario, local_link_us), 0, 1000},
	{"far_ms", NUMBER_MS, AT(scenario, remote_link_us), 0, 1000},
	{"connections", NUMBER_INT, AT(scenario, connections_max), 0, 100000},
};

static const struct number load_numbers[] = {
	{"rate", NUMBER_DOUBLE, AT(scenario, rate_per_s), 1, 100000},
	{"swing", NUMBER_INT, AT(scenario, rate_swing_permille), 0, 1000},
	{"period_s", NUMBER_S, AT(scenario, rate_period_us), 1, 3600},
	{"length_s", NUMBER_S, AT(scenario, duration_us), 1, 3600},
	{"attempts", NUMBER_INT, AT(scenario, attempts_max), 1, 8},
	{"returns", NUMBER_INT, AT(scenario, caller_retries_max), 0, 8},
	{"impatient", NUMBER_INT, AT(scenario, retry_immediately), 0, 1},
};

static const struct number kind_numbers[] = {
	{"share", NUMBER_INT, AT(scenario_kind, share_permille), 1, 1000},
	{"work_ms", NUMBER_MS, AT(scenario_kind, service_time_us), 1, 60000},
	{"vary", NUMBER_INT, AT(scenario_kind, service_time_spread_permille), 0,
	 1000},
	{"objective_ms", NUMBER_MS, AT(scenario_kind, objective_us), 1, 60000},
	{"deadline_ms", NUMBER_MS, AT(scenario_kind, deadline_us), 1, 60000},
	{"worth", NUMBER_INT, AT(scenario_kind, worth), 1, 1000},
	{"late", NUMBER_INT, AT(scenario_kind, late_worth), 0, 1000},
	{"priority", NUMBER_INT, AT(scenario_kind, priority), 1, 9},
	{"objects", NUMBER_INT, AT(scenario_kind, nobject), 0, 100000},
	{"once", NUMBER_INT, AT(scenario_kind, at_most_once), 0, 1},
};

static const struct number fault_numbers[] = {
	{"from_s", NUMBER_S, AT(scenario_fault, from_us), 0, 3600},
	{"until_s", NUMBER_S, AT(scenario_fault, until_us), 0, 3600},
	{"share", NUMBER_INT, AT(scenario_fault, share_permille), 0, 1000},
	{"factor", NUMBER_INT, AT(scenario_fault, factor), 1, 100000},
	{"region", NUMBER_INT, AT(scenario_fault, region), -1,
	 SCENARIO_REGIONS_MAX - 1},
};

static const char *const fault_names[] = {
	[SCENARIO_SLOW] = "slow",	[SCENARIO_GONE] = "gone",
	[SCENARIO_FAILING] = "failing", [SCENARIO_SILENT] = "silent",
	[SCENARIO_LYING] = "lying",	[SCENARIO_BURST] = "burst",
};

static void store_number(const struct number *n, int64_t value, void *to)
{
	void *at = (char *)to + n->offset;

	switch (n->type) {
	case NUMBER_INT:
		*(int *)at = (int)value;
		break;
	case NUMBER_MS:
		*(int64_t *)at = value * US_PER_MS;
		break;
	case NUMBER_S:
		*(int64_t *)at = value * US_PER_S;
		break;
	case NUMBER_DOUBLE:
		*(double *)at = (double)value;
		break;
	}
}

static enum prl_code read_numbers(GKeyFile *file, const char *group,
				  const struct number *numbers, size_t n,
				  void *to, struct prl_error *err)
{
	for (size_t i = 0; i < n; i++) {
		GError *gerror = NULL;
		int64_t value = g_key_file_get_int64(file, group,
						     numbers[i].name, &gerror);

		if (gerror) {
			g_error_free(gerror);
			return prl_error_set(
				err, PRL_E_CONFIG,
				"section \"%s\" has no valid number \"%s\"",
				group, numbers[i].name);
		}
		if (value < numbers[i].min || value > numbers[i].max)
			return prl_error_set(
				err, PRL_E_CONFIG,
				"\"%s\" of section \"%s\" is not between %lld "
				"and %lld",
				numbers[i].name, group,
				(long long)numbers[i].min,
				(long long)numbers[i].max);
		store_number(&numbers[i], value, to);
	}
	return PRL_OK;
}

static enum prl_code read_kind(GKeyFile *file, const char *group,
			       struct scenario *s, struct prl_error *err)
{
	struct scenario_kind *k = &s->kind[s->nkind];

	if (s->nkind == SCENARIO_KINDS_MAX)
		return prl_error_set(
			err, PRL_E_CONFIG,
			"there are more than %d sections \"kind ...\"",
			SCENARIO_KINDS_MAX);
	g_strlcpy(k->name, group + strlen("kind "), sizeof(k->name));
	s->nkind++;
	return read_numbers(file, group, kind_numbers,
			    G_N_ELEMENTS(kind_numbers), k, err);
}

static enum prl_code read_fault(GKeyFile *file, const char *group,
				struct scenario *s, struct prl_error *err)
{
	struct scenario_fault *f = &s->fault[s->nfault];
	char *what = g_key_file_get_string(file, group, "what", NULL);
	size_t i = 0;

	if (s->nfault == SCENARIO_FAULTS_MAX) {
		g_free(what);
		return prl_error_set(
			err, PRL_E_CONFIG,
			"there are more than %d sections \"trouble ...\"",
			SCENARIO_FAULTS_MAX);
	}
	while (i < G_N_ELEMENTS(fault_names) &&
	       g_strcmp0(what, fault_names[i]) != 0)
		i++;
	g_free(what);
	if (i == G_N_ELEMENTS(fault_names))
		return prl_error_set(
			err, PRL_E_CONFIG,
			"\"what\" of section \"%s\" is not a known fault",
			group);
	f->type = (enum scenario_fault_type)i;
	s->nfault++;
	return read_numbers(file, group, fault_numbers,
			    G_N_ELEMENTS(fault_numbers), f, err);
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
			rc = read_fault(file, group[i], s, err);
	}
	g_strfreev(group);
	if (!rc && !s->nkind)
		rc = prl_error_set(err, PRL_E_CONFIG,
				   "there is no section \"kind ...\"");
	return rc;
}

static enum prl_code load_key_file(const char *path, GKeyFile *file,
				   struct prl_error *err)
{
	GError *gerror = NULL;
	enum prl_code rc;

	if (g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &gerror))
		return PRL_OK;
	rc = prl_error_set(err, PRL_E_IO, "file \"%s\": %s", path,
			   gerror->message);
	g_error_free(gerror);
	return rc;
}

/* Overrides the values of "base" with those of "file". */
static void overlay_key_file(GKeyFile *base, GKeyFile *file)
{
	char **group = g_key_file_get_groups(file, NULL);

	for (int g = 0; group[g]; g++) {
		char **key = g_key_file_get_keys(file, group[g], NULL, NULL);

		for (int i = 0; key[i]; i++) {
			char *value = g_key_file_get_value(file, group[g],
							   key[i], NULL);

			g_key_file_set_value(base, group[g], key[i], value);
			g_free(value);
		}
		g_strfreev(key);
	}
	g_strfreev(group);
}

/* Reads a scenario that overrides the file "like" in the same directory. */
static enum prl_code read_derived(const char *path, const char *like,
				  GKeyFile *file, struct scenario *s,
				  struct prl_error *err)
{
	GKeyFile *base = g_key_file_new();
	char *dir = g_path_get_dirname(path);
	char *base_path = g_build_filename(dir, like, NULL);
	enum prl_code rc = load_key_file(base_path, base, err);

	if (!rc) {
		overlay_key_file(base, file);
		rc = read_sections(base, s, err);
	}
	g_free(base_path);
	g_free(dir);
	g_key_file_free(base);
	return rc;
}

enum prl_code scenario_read(const char *path, struct scenario *s,
			    struct prl_error *err)
{
	GKeyFile *file = g_key_file_new();
	enum prl_code rc = load_key_file(path, file, err);
	char *like = g_key_file_get_string(file, "scenario", "like", NULL);

	memset(s, 0, sizeof(*s));
	if (!rc)
		rc = like ? read_derived(path, like, file, s, err)
			  : read_sections(file, s, err);
	g_free(like);
	g_key_file_free(file);
	return rc;
}

int scenario_fault_factor(const struct scenario *s,
			  enum scenario_fault_type type, int region, int rank,
			  int64_t at_us)
{
	for (int i = 0; i < s->nfault; i++) {
		const struct scenario_fault *f = &s->fault[i];

		if (f->type == type && at_us >= f->from_us &&
		    at_us < f->until_us && rank < f->share_permille &&
		    (f->region < 0 || f->region == region))
			return f->factor;
	}
	return 0;
}
