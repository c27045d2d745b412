/* Installs the platform's objects in the inventory. */
#include "objects.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <string.h>

/* Longest entry of an upstream or of an evacuated domain, in bytes. */
#define ENTRY_BYTES_MAX 16384

void objects_init(struct control *c)
{
	const struct prl_settings *s = c->settings;
	struct inventory *inventory = &c->objects.inventory;

	inventory_init(inventory);
	for (int i = 0; i < s->ndomain; i++)
		inventory_set_domain_region(inventory, s->domain[i].label,
					    s->domain[i].region);
}

/* Limits of the manifest that are greater than what this VM holds. */
static void check_limits(const struct fleet_limits *l)
{
	char value[LOG_NUMBER_MAX];
	char held[LOG_NUMBER_MAX];

	if (l->header_bytes_max <= PROXY_REQUEST_HEAD_MAX_BYTES)
		return;
	log_format_number(value, l->header_bytes_max);
	log_format_number(held, PROXY_REQUEST_HEAD_MAX_BYTES);
	log_event(LOG_LEVEL_WARNING, "manifest_limit", "field",
		  "max_header_bytes", "value", value, "held", held, NULL);
}

/* The version in force stays in force if a newer one can't be used. */
static void note_manifest(struct control *c, const struct prl_error *err)
{
	const struct fleet_manifest *m = &c->objects.inventory.manifest;

	if (err->code && err->code != PRL_E_STALE) {
		metrics_add(&c->proxy.control_metrics, METRIC_MANIFESTS_REFUSED,
			    1);
		g_strlcpy(c->objects.manifest_problem, err->text,
			  sizeof(c->objects.manifest_problem));
		return;
	}
	if (err->code)
		return;
	metrics_set(&c->proxy.control_metrics, METRIC_MANIFEST_LEFT_OUT,
		    (uint64_t)m->nleft_out);
	g_strlcpy(c->objects.manifest_problem, m->left_out,
		  sizeof(c->objects.manifest_problem));
	check_limits(&m->limits);
}

static void apply_manifest(struct control *c, const struct spread_object *o)
{
	struct fleet_manifest m;
	struct prl_error err = {0};
	char version[LOG_NUMBER_MAX];
	char left_out[LOG_NUMBER_MAX];
	enum prl_code rc = platform_manifest_parse(o->value, &m, &err);

	log_format_number(version, rc ? 0 : m.version);
	if (!rc)
		rc = inventory_install_manifest(&c->objects.inventory, &m,
						&err);
	log_format_number(left_out,
			  rc ? 0 : c->objects.inventory.manifest.nleft_out);
	note_manifest(c, &err);
	log_event(rc ? LOG_LEVEL_WARNING : LOG_LEVEL_AUDIT, "manifest",
		  "version", version, "error", rc ? err.text : "", "left_out",
		  left_out, "problem", c->objects.manifest_problem, NULL);
}

static void log_upstream(const struct fleet_upstream *u)
{
	char slots[LOG_NUMBER_MAX];
	char cold[LOG_NUMBER_MAX];
	char sequence[LOG_NUMBER_MAX];

	log_format_number(slots, u->slots);
	log_format_number(cold, u->cold_time_left_ms);
	log_format_number(sequence, u->sequence);
	log_event(LOG_LEVEL_AUDIT, "upstream", "instance", u->instance,
		  "service", u->service, "address", u->address, "domain",
		  u->domain, "state", u->leaving ? "leaving" : "active",
		  "slots", slots, "cold_ms", cold, "sequence", sequence, NULL);
}

/*
 * Called for a removed entry and for an invalid one, which names no usable
 * upstream.
 */
static void remove_upstream(struct control *c, const char *name, int64_t at,
			    const char *why)
{
	char in_ms[LOG_NUMBER_MAX];

	if (!inventory_schedule_removal(&c->objects.inventory, name, at))
		return;
	log_format_number(in_ms, at - prl_now_ms());
	log_event(LOG_LEVEL_AUDIT, "upstream", "instance", name, "state",
		  "gone", "in_ms", in_ms, "error", why, NULL);
}

static void apply_upstream(struct control *c, const char *name,
			   const struct spread_object *o,
			   const struct objects_removal *removal)
{
	int64_t now = prl_now_ms();
	struct fleet_upstream u;
	struct prl_error err = {0};

	if (!o->len)
		remove_upstream(c, name, removal->upstream_ms, "");
	else if (platform_upstream_parse(name, o->value, &u, &err))
		remove_upstream(c, name, now, err.text);
	else if (inventory_update_upstream(&c->objects.inventory, &u, now,
					   &err))
		log_event(LOG_LEVEL_WARNING, "upstream", "instance", name,
			  "error", err.text, NULL);
	else if (c->objects.inventory.list_complete || u.leaving)
		log_upstream(&u);
}

static void apply_evacuation(struct control *c, const char *name,
			     const struct spread_object *o,
			     const struct objects_removal *removal)
{
	int64_t now = prl_now_ms();

	if (o->len)
		inventory_set_evacuated(&c->objects.inventory, name, 1, now);
	else
		inventory_schedule_evacuation_end(&c->objects.inventory, name,
						  removal->evacuation_ms);
	log_event(LOG_LEVEL_AUDIT, "evacuation", "domain", name, "state",
		  o->len ? "on" : "off", NULL);
}

/*
 * Name part of a key of the given kind, or null if the key is of another kind.
 */
static const char *name_of_kind(const char *key, const char *kind)
{
	size_t n = strlen(kind);

	return !strncmp(key, kind, n) && key[n] == '/' ? key + n + 1 : NULL;
}

int objects_has_kind(const char *key)
{
	return name_of_kind(key, PLATFORM_KIND_MANIFEST) ||
	       name_of_kind(key, PLATFORM_KIND_UPSTREAM) ||
	       name_of_kind(key, PLATFORM_KIND_EVACUATION);
}

int objects_is_oversized(const char *key, size_t len)
{
	return len > ENTRY_BYTES_MAX &&
	       (name_of_kind(key, PLATFORM_KIND_UPSTREAM) ||
		name_of_kind(key, PLATFORM_KIND_EVACUATION));
}

void objects_apply(struct control *c, const struct spread_object *o,
		   const struct objects_removal *removal)
{
	const char *name;

	c->view_outdated = 1;
	name = name_of_kind(o->key, PLATFORM_KIND_MANIFEST);
	if (name && !strcmp(name, PLATFORM_MANIFEST_NAME) && o->len)
		apply_manifest(c, o);
	name = name_of_kind(o->key, PLATFORM_KIND_UPSTREAM);
	if (name)
		apply_upstream(c, name, o, removal);
	name = name_of_kind(o->key, PLATFORM_KIND_EVACUATION);
	if (name)
		apply_evacuation(c, name, o, removal);
}

void objects_tick(struct control *c, int64_t now)
{
	if (inventory_remove_expired(&c->objects.inventory, now))
		c->view_outdated = 1;
}

void objects_finish(struct control *c)
{
	inventory_finish(&c->objects.inventory);
}
