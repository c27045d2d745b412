#include "check.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <string.h>

/* Upstreams of a service that are probed at the same time. */
#define PROBES 2

/* Timeout of a probe, in ms. */
#define PROBE_TIMEOUT_MS 700

/* Interval in ms at which an isolation that lasts is announced again, and the
 * time after which an announcement is no longer believed. */
#define REPEAT_INTERVAL_MS 3000
#define BELIEVED_MS 7000

/* A service that this VM may not reach. */
struct reach_service {
	struct control *control;
	char name[FLEET_SERVICE_MAX];
	struct place_reach reach;
	/** When the isolation began; 0 while it is only suspected. */
	int64_t isolated_ms;
	int nupstream;
	struct check probe[PROBES];
};

/* Last announcement of another VM. */
struct reach_peer {
	int64_t sequence;
	int64_t believed_until_ms;
	int all;
	int nservice;
	uint64_t service[WIRE_ISOLATED_MAX];
};

_Static_assert(WIRE_ISOLATED_MAX == STEER_ISOLATED_MAX,
	       "announced services are copied to the view");

static void act_at_once(struct control *c)
{
	c->view_outdated = 1;
	c->tick_timer.deadline_ms = prl_now_ms();
}

static void service_free(void *p)
{
	struct reach_service *s = p;

	for (int i = 0; i < PROBES; i++)
		check_finish(&s->probe[i]);
	g_free(s);
}

static void note_isolated(struct reach_service *s, const char *reason,
			  int64_t answered_ms)
{
	char age[LOG_NUMBER_MAX];

	s->isolated_ms = prl_now_ms();
	log_format_number(age, answered_ms ? s->isolated_ms - answered_ms : -1);
	log_event(LOG_LEVEL_AUDIT, "isolated", "service", s->name, "state",
		  "on", "reason", reason, "answered_age_ms", age, NULL);
	act_at_once(s->control);
}

static void note_reached(struct reach_service *s)
{
	char ms[LOG_NUMBER_MAX];

	if (!s->isolated_ms)
		return;
	log_format_number(ms, prl_now_ms() - s->isolated_ms);
	log_event(LOG_LEVEL_AUDIT, "isolated", "service", s->name, "state",
		  "off", "lasted_ms", ms, NULL);
	s->control->view_outdated = 1;
}

static void on_probe_done(struct check *k, int answered)
{
	struct reach_service *s = k->ctx;
	enum place_reach_state before = s->reach.state;

	place_reach_probe_ended(&s->reach,
				&(struct place_probe){
					.upstream = k->upstream_id,
					.answered = answered,
					.nupstream = s->nupstream,
				},
				prl_now_ms());
	if (s->reach.state == before)
		return;
	if (s->reach.state == PLACE_ISOLATED)
		note_isolated(s, "probes are not answered", 0);
	else
		act_at_once(s->control);
}

static struct reach_service *get_service(struct control *c, const char *name)
{
	struct reach_service *s = g_hash_table_lookup(c->reach.services, name);

	if (s)
		return s;
	s = g_new0(struct reach_service, 1);
	s->control = c;
	g_strlcpy(s->name, name, sizeof(s->name));
	for (int i = 0; i < PROBES; i++) {
		s->probe[i].control = c;
		s->probe[i].done = on_probe_done;
		s->probe[i].ctx = s;
	}
	g_hash_table_insert(c->reach.services, s->name, s);
	return s;
}

/* A cut often concerns all services, and some get few requests. */
static void suspect_others(struct control *c)
{
	const struct steer_view *v = c->reach.view;

	for (int i = 0; v && i < v->nservice; i++)
		if (v->service[i]->nupstream)
			place_reach_suspect(
				&get_service(c, v->service[i]->name)->reach,
				prl_now_ms());
}

void reach_handle_isolated(struct control *c, const struct proxy_news *news)
{
	struct reach_service *s = get_service(c, news->u.isolated.service);

	if (s->reach.state == PLACE_ISOLATED)
		return;
	place_reach_isolate(&s->reach, prl_now_ms());
	note_isolated(s, "attempts are not answered",
		      news->u.isolated.answered_ms);
	suspect_others(c);
}

static int is_undisturbed(const struct steer_upstream *u, int64_t now)
{
	return now >= u->cold_until_ms && now >= u->limited_until_ms &&
	       now >= u->paused_until_ms && now >= u->closed_until_ms;
}

/* Returns an upstream to probe other than "excluded", or null. Upstreams that
 * are cold, limited, paused or closed are not probed. */
static const struct steer_upstream *
choose_upstream(const struct steer_service *s, uint64_t excluded, int64_t now)
{
	int first = (int)(control_random() % (uint64_t)s->nupstream);

	for (int i = 0; i < s->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[(first + i) % s->nupstream];

		if (u->id != excluded && is_undisturbed(u, now))
			return u;
	}
	return NULL;
}

static void start_probe(struct reach_service *s, struct check *k,
			const struct steer_upstream *u, int64_t now)
{
	struct prl_error err = {0};

	k->upstream_id = u->id;
	memcpy(k->instance, u->instance, sizeof(k->instance));
	memcpy(k->address, u->address, sizeof(k->address));
	check_set_path(k, s->name);
	k->deadline_ms = now + PROBE_TIMEOUT_MS;
	if (check_start(k, &err))
		log_event(LOG_LEVEL_WARNING, "isolated", "service", s->name,
			  "error", err.text, NULL);
}

/* Returns the service in the current view, or null if it has no upstream. */
static const struct steer_service *view_service(const struct reach_service *s)
{
	const struct steer_view *v = s->control->reach.view;
	int i = v ? steer_find_service(v, s->name, strlen(s->name))
		  : STEER_NONE;

	return i != STEER_NONE && v->service[i]->nupstream ? v->service[i]
							   : NULL;
}

static void probe_service(struct reach_service *s,
			  const struct steer_service *service, int64_t now)
{
	uint64_t excluded = 0;

	s->nupstream = service->nupstream;
	for (int i = 0; i < PROBES; i++) {
		const struct steer_upstream *u =
			choose_upstream(service, excluded, now);

		if (!u)
			return;
		excluded = u->id;
		if (!s->probe[i].in_flight)
			start_probe(s, &s->probe[i], u, now);
	}
}

static void update_services(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->reach.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct reach_service *s = value;
		const struct steer_service *service = view_service(s);

		if (s->reach.state == PLACE_REACHED || !service) {
			note_reached(s);
			g_hash_table_iter_remove(&it);
		} else if (place_reach_probe_due(&s->reach, control_random(),
						 now)) {
			probe_service(s, service, now);
		}
	}
}

static void forget_peers(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->reach.peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct reach_peer *p = value;

		if (now < p->believed_until_ms)
			continue;
		c->view_outdated |= p->all || p->nservice;
		g_hash_table_iter_remove(&it);
	}
}

/* Collects the isolated services: all, or only those to be announced. Returns
 * their number; at most STEER_ISOLATED_MAX are filled. */
static int list_isolated(const struct control *c, int announced_only,
			 int64_t now, uint64_t service[STEER_ISOLATED_MAX])
{
	GHashTableIter it;
	void *value;
	int n = 0;

	g_hash_table_iter_init(&it, c->reach.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct reach_service *s = value;

		if (announced_only ? !place_reach_is_announced(&s->reach, now)
				   : s->reach.state != PLACE_ISOLATED)
			continue;
		if (n < STEER_ISOLATED_MAX)
			service[n] = prl_hash_string(s->name);
		n++;
	}
	return n;
}

static int count_services(const struct control *c)
{
	const struct steer_view *v = c->reach.view;
	int n = 0;

	for (int i = 0; v && i < v->nservice; i++)
		n += v->service[i]->nupstream > 0;
	return n;
}

/* Whether "n" isolated services are all services, or more than can be named. */
static int is_all_services(const struct control *c, int n)
{
	return n > STEER_ISOLATED_MAX || (n && n >= count_services(c));
}

static int by_value(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Announces changes to all VMs, and repeats what lasts: messages may be lost,
 * and VMs may have started since. */
static void announce(struct control *c, int64_t now)
{
	struct reach *reach = &c->reach;
	uint64_t service[STEER_ISOLATED_MAX];
	int n = list_isolated(c, 1, now, service);
	int all = is_all_services(c, n);
	u_int len = all ? 0 : (u_int)n;
	struct wire_args args = {.proc = WIRE_ISOLATION};

	qsort(service, len, sizeof(service[0]), by_value);
	if (reach->announced.all == all &&
	    reach->announced.service.service_len == len &&
	    !memcmp(reach->announced_service, service,
		    len * sizeof(service[0])) &&
	    (!n || now < reach->next_announcement_ms))
		return;
	reach->announced.vm = (char *)c->settings->vm.name;
	reach->announced.sequence =
		MAX(reach->announced.sequence + 1, prl_wall_ms());
	reach->announced.all = all;
	memcpy(reach->announced_service, service, sizeof(service));
	reach->announced.service.service_val = reach->announced_service;
	reach->announced.service.service_len = len;
	reach->next_announcement_ms = now + REPEAT_INTERVAL_MS;
	args.u.isolation = reach->announced;
	peers_broadcast(c, &args);
}

void reach_tick(struct control *c, int64_t now)
{
	uint64_t service[STEER_ISOLATED_MAX];

	update_services(c, now);
	forget_peers(c, now);
	announce(c, now);
	metrics_set(&c->proxy.control_metrics, METRIC_SERVICES_ISOLATED,
		    (uint64_t)list_isolated(c, 0, now, service));
}

static void log_peer(const char *vm, const struct reach_peer *p)
{
	char n[LOG_NUMBER_MAX];

	log_format_number(n, p->nservice);
	log_event(LOG_LEVEL_AUDIT, "peer_isolated", "peer", vm, "all",
		  p->all ? "yes" : "no", "services", n, NULL);
}

/* Returns 1 if the announcement differs from the VM's last one. */
static int update_peer(struct reach_peer *p, const struct wire_isolation *from,
		       int64_t now)
{
	int n = (int)MIN(from->service.service_len, WIRE_ISOLATED_MAX);
	size_t size = (size_t)n * sizeof(p->service[0]);
	int changed =
		p->all != !!from->all || p->nservice != n ||
		(n && memcmp(p->service, from->service.service_val, size));

	p->sequence = from->sequence;
	p->believed_until_ms = now + BELIEVED_MS;
	p->all = !!from->all;
	p->nservice = n;
	if (n)
		memcpy(p->service, from->service.service_val, size);
	return changed;
}

void reach_handle_remote(struct control *c, const struct wire_request *r,
			 const struct wire_isolation *from)
{
	struct wire_result empty = {.proc = WIRE_ISOLATION};
	const struct member_peer *member = member_find(&c->members, from->vm);
	char address[PRL_ADDRESS_MAX];
	struct reach_peer *p;

	prl_address_format(&r->from, address, sizeof(address));
	if (!member || strcmp(member->vm.rpc, address))
		return;
	wire_reply(&c->wire, r, &empty, NULL);
	p = g_hash_table_lookup(c->reach.peers, from->vm);
	if (p && from->sequence <= p->sequence)
		return;
	if (!p) {
		p = g_new0(struct reach_peer, 1);
		g_hash_table_insert(c->reach.peers, g_strdup(from->vm), p);
	}
	if (!update_peer(p, from, prl_now_ms()))
		return;
	log_peer(from->vm, p);
	act_at_once(c);
}

void reach_fill_vm(const struct control *c, const char *name,
		   struct steer_vm *out)
{
	const struct reach_peer *p;

	if (!strcmp(name, c->settings->vm.name)) {
		int n = list_isolated(c, 0, prl_now_ms(), out->isolated);

		out->isolated_from_all = is_all_services(c, n);
		out->nisolated = MIN(n, STEER_ISOLATED_MAX);
		return;
	}
	p = g_hash_table_lookup(c->reach.peers, name);
	if (!p)
		return;
	out->isolated_from_all = p->all;
	out->nisolated = p->nservice;
	memcpy(out->isolated, p->service, sizeof(p->service));
}

void reach_set_view(struct control *c, struct steer_view *v)
{
	if (c->reach.view)
		config_view_release(c->reach.view);
	c->reach.view = config_view_ref(v);
}

void reach_init(struct control *c)
{
	c->reach.services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  service_free);
	c->reach.peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void reach_finish(struct control *c)
{
	g_hash_table_destroy(c->reach.services);
	g_hash_table_destroy(c->reach.peers);
	if (c->reach.view)
		config_view_release(c->reach.view);
}
