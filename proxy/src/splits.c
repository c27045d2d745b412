#include "splits.h"

/* Credits of one route's services. */
struct split_state {
	uint64_t route;
	/* The manifest's last version that had the route. */
	int64_t version;
	int ncredit;
	int64_t credit[];
};

int64_t *splits_credit(struct proxy_splits *s, const struct steer_route *route)
{
	struct split_state *state;

	if (!s->by_route)
		s->by_route = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	state = g_hash_table_lookup(s->by_route, &route->id);
	if (state && state->ncredit == route->nsplit)
		return state->credit;
	state = g_malloc0(sizeof(*state) +
			  sizeof(state->credit[0]) * (size_t)route->nsplit);
	state->route = route->id;
	state->version = s->manifest_version;
	state->ncredit = route->nsplit;
	g_hash_table_replace(s->by_route, &state->route, state);
	return state->credit;
}

static gboolean is_of_older_version(void *key, void *value, void *ctx)
{
	const struct split_state *state = value;
	const struct proxy_splits *s = ctx;

	(void)key;
	return state->version != s->manifest_version;
}

void splits_forget(struct proxy_splits *s, const struct steer_view *v)
{
	if (v->manifest_version == s->manifest_version)
		return;
	s->manifest_version = v->manifest_version;
	if (!s->by_route)
		return;
	for (int i = 0; i < v->nroute; i++) {
		struct split_state *state =
			g_hash_table_lookup(s->by_route, &v->route[i].id);

		if (state)
			state->version = v->manifest_version;
	}
	g_hash_table_foreach_remove(s->by_route, is_of_older_version, s);
}

void splits_finish(struct proxy_splits *s)
{
	if (s->by_route)
		g_hash_table_destroy(s->by_route);
	s->by_route = NULL;
}
