/* Rank of a member by rendezvous hashing, spread over the regions. */
#include "internal.h"
#include <primroselead/hash.h>
#include <primroselead/member.h>
#include <string.h>

/* The greatest weights of one region's members, in descending order. */
struct region_top {
	uint64_t weight[MEMBER_SPREAD_MAX];
	int n;
};

/* Returns the regions' greatest weights, struct region_top by name. */
static GHashTable *rank_regions(const struct member_table *m, uint64_t topic,
				int max)
{
	GHashTable *regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (int i = 0; i < m->npeer; i++) {
		const struct member_peer *p = &m->peer[i];
		struct region_top *t;

		if (!member_is_usable(p))
			continue;
		t = g_hash_table_lookup(regions, p->vm.region);
		if (!t) {
			t = g_new0(struct region_top, 1);
			g_hash_table_insert(regions, (char *)p->vm.region, t);
		}
		member_insert_weight(t->weight, &t->n, max,
				     prl_hash_combine(p->id, topic));
	}
	return regions;
}

/* Returns the position of a weight among those of its region, or "max". */
static int position_in_region(const struct region_top *t, uint64_t weight,
			      int max)
{
	for (int k = 0; t && k < t->n; k++)
		if (t->weight[k] == weight)
			return k;
	return max;
}

int member_spread_rank(const struct member_table *m, int peer, uint64_t topic,
		       int max)
{
	uint64_t weight = prl_hash_combine(m->peer[peer].id, topic);
	int limit = max < MEMBER_SPREAD_MAX ? max : MEMBER_SPREAD_MAX;
	GHashTable *regions = rank_regions(m, topic, limit);
	int before = 0;
	GHashTableIter it;
	void *value;
	int own;

	own = member_is_usable(&m->peer[peer])
		      ? position_in_region(
				g_hash_table_lookup(regions,
						    m->peer[peer].vm.region),
				weight, limit)
		      : limit;
	g_hash_table_iter_init(&it, regions);
	while (own < limit && g_hash_table_iter_next(&it, NULL, &value)) {
		const struct region_top *t = value;

		before += t->n < own ? t->n : own;
		before += t->n > own && t->weight[own] > weight;
	}
	g_hash_table_destroy(regions);
	return own < limit && before < max ? before : max;
}
