#include <primroselead/config.h>
#include <stdio.h>
#include <string.h>

static int has_region(const struct prl_service *s, const char *name)
{
	for (int i = 0; i < s->nregion; i++)
		if (!strcmp(s->region[i].label, name))
			return 1;
	return 0;
}

/* Formats a labelled section's name as in the file: "region norte". */
static const char *format_section_name(char *out, size_t size, const char *kind,
				       const char *label)
{
	snprintf(out, size, "%s %s", kind, label);
	return out;
}

static void check_region_exists(const struct prl_service *s,
				struct prl_faults *f, int line,
				const char *section, const char *key,
				const char *name)
{
	if (name[0] && !has_region(s, name))
		prl_fault_add(f, line, section, key,
			      "region \"%s\" is not defined, section [region "
			      "%s] is missing",
			      name, name);
}

static void check_regions(const struct prl_service *s, struct prl_faults *f)
{
	char section[PRL_NAME_MAX * 2];

	if (!s->nregion)
		prl_fault_add(f, 0, "region", "",
			      "at least one section [region NAME] is required");
	if (s->nregion > STEER_REGIONS_MAX)
		prl_fault_add(f, 0, "region", "",
			      "%d regions are defined, the maximum is %d",
			      s->nregion, STEER_REGIONS_MAX);
	for (int i = 0; i < s->nregion; i++) {
		const struct prl_service_region *r = &s->region[i];

		format_section_name(section, sizeof(section), "region",
				    r->label);
		for (int k = 0; k < r->spill.n; k++)
			check_region_exists(s, f, r->line, section, "spill",
					    r->spill.item[k]);
	}
}

static int find_same_address(const struct prl_service *s, int i)
{
	for (int k = 0; k < i; k++)
		if (!strcmp(s->upstream[k].address, s->upstream[i].address))
			return k;
	return -1;
}

static void check_upstreams(const struct prl_service *s, struct prl_faults *f)
{
	char section[PRL_NAME_MAX * 2];

	for (int i = 0; i < s->nupstream; i++) {
		const struct prl_service_upstream *u = &s->upstream[i];
		int duplicate = find_same_address(s, i);

		format_section_name(section, sizeof(section), "upstream",
				    u->label);
		check_region_exists(s, f, u->line, section, "region",
				    u->region);
		if (duplicate >= 0 && u->address[0])
			prl_fault_add(f, u->line, section, "address",
				      "address \"%s\" is already used by "
				      "upstream \"%s\"",
				      u->address, s->upstream[duplicate].label);
	}
}

static void check_shift(const struct prl_service *s, struct prl_faults *f)
{
	const struct prl_service_shift *shift = &s->shift;

	if (!shift->line)
		return;
	check_region_exists(s, f, shift->line, "shift", "from", shift->from);
	check_region_exists(s, f, shift->line, "shift", "to", shift->to);
	if (!shift->from[0] || !shift->to[0])
		prl_fault_add(f, shift->line, "shift",
			      shift->from[0] ? "to" : "from",
			      "key is missing, a shift needs \"from\" and "
			      "\"to\"");
	else if (!strcmp(shift->from, shift->to))
		prl_fault_add(f, shift->line, "shift", "to",
			      "region \"%s\" is also the value of \"from\", "
			      "they must differ",
			      shift->to);
}

static void check_links(const struct prl_service *s, struct prl_faults *f)
{
	char section[PRL_NAME_MAX * 2];

	for (int i = 0; i < s->nlink; i++) {
		const struct prl_service_link *l = &s->link[i];

		format_section_name(section, sizeof(section), "link", l->label);
		check_region_exists(s, f, l->line, section, "from", l->from);
		check_region_exists(s, f, l->line, section, "to", l->to);
	}
}

static int name_is_plain(const char *name)
{
	for (; *name; name++)
		if (!g_ascii_isalnum(*name) && *name != '-' && *name != '_')
			return 0;
	return 1;
}

static void check_name(struct prl_faults *f, int line, const char *section,
		       const char *key, const char *name)
{
	/* Names are used unescaped in URLs and in keys of the store. */
	if (!name_is_plain(name))
		prl_fault_add(f, line, section, key,
			      "name \"%s\" may contain only letters, digits, "
			      "- and _",
			      name);
}

enum prl_code config_service_parse(const char *text, size_t len,
				   struct prl_service *out, apr_pool_t *pool,
				   struct prl_faults *faults,
				   struct prl_error *err)
{
	enum prl_code rc = prl_schema_parse(&prl_service_schema, text, len, out,
					    pool, faults, err);

	if (rc && rc != PRL_E_CONFIG)
		return rc;
	check_name(faults, out->service.line, "service", "name",
		   out->service.name);
	check_regions(out, faults);
	check_upstreams(out, faults);
	check_links(out, faults);
	check_shift(out, faults);
	return prl_faults_error(faults, err);
}

enum prl_code config_settings_parse(const char *text, size_t len,
				    struct prl_settings *out, apr_pool_t *pool,
				    struct prl_faults *faults,
				    struct prl_error *err)
{
	enum prl_code rc = prl_schema_parse(&prl_settings_schema, text, len,
					    out, pool, faults, err);

	if (rc && rc != PRL_E_CONFIG)
		return rc;
	check_name(faults, out->vm.line, "vm", "name", out->vm.name);
	check_name(faults, out->vm.line, "vm", "region", out->vm.region);
	check_name(faults, out->vm.line, "vm", "domain", out->vm.domain);
	return prl_faults_error(faults, err);
}
