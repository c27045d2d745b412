/* Tables of the workspaces and their keys, by which requests are told apart. */
#include "workspaces.h"
#include "shared_service.h"
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Greatest rate and burst that are told apart, in thousandths of a request: no
 * fleet serves as many, and their products with a window stay in range. */
#define QUOTA_MAX_MILLI INT64_C(1000000000000)

static int compare_id(uint64_t a, uint64_t b)
{
	return a < b ? -1 : a > b;
}

static int by_name_hash(const void *a, const void *b)
{
	const struct fleet_workspace *x = a;
	const struct fleet_workspace *y = b;

	return compare_id(prl_hash_string(x->name), prl_hash_string(y->name));
}

static int by_digest(const void *a, const void *b)
{
	const struct steer_key *x = a;
	const struct steer_key *y = b;
	int order = compare_id(x->digest.high, y->digest.high);

	return order ? order : compare_id(x->digest.low, y->digest.low);
}

static int count_keys(const struct fleet_manifest *m)
{
	int n = 0;

	for (int i = 0; i < m->nworkspace; i++)
		n += m->workspace[i].nkey;
	return n;
}

static void add_keys(struct inventory *inv, int workspace)
{
	const struct fleet_workspace *w = &inv->manifest.workspace[workspace];

	for (int i = 0; i < w->nkey; i++)
		inv->key[inv->nkey++] = (struct steer_key){
			.digest = w->key[i], .workspace = workspace};
}

static void note_shared_key(struct fleet_manifest *m,
			    const struct prl_hash128 *digest)
{
	if (!m->nleft_out++)
		snprintf(m->left_out, sizeof(m->left_out),
			 "the key with digest %016llx%016llx: several "
			 "workspaces hold it",
			 (unsigned long long)digest->high,
			 (unsigned long long)digest->low);
}

/* Makes one entry of the keys that are the same. */
static void merge_equal_keys(struct inventory *inv)
{
	struct steer_key *last = inv->key;

	for (int i = 1; i < inv->nkey; i++) {
		const struct steer_key *from = &inv->key[i];

		if (by_digest(last, from)) {
			*++last = *from;
		} else if (last->workspace != STEER_NONE &&
			   last->workspace != from->workspace) {
			last->workspace = STEER_NONE;
			note_shared_key(&inv->manifest, &last->digest);
		}
	}
	if (inv->nkey)
		inv->nkey = (int)(last - inv->key) + 1;
}

void config_workspaces_sort(struct inventory *inv)
{
	struct fleet_manifest *m = &inv->manifest;

	g_free(inv->key);
	inv->key = g_new0(struct steer_key, (gsize)count_keys(m) + 1);
	inv->nkey = 0;
	if (!m->nworkspace)
		return;
	qsort(m->workspace, (size_t)m->nworkspace, sizeof(*m->workspace),
	      by_name_hash);
	for (int i = 0; i < m->nworkspace; i++)
		add_keys(inv, i);
	qsort(inv->key, (size_t)inv->nkey, sizeof(*inv->key), by_digest);
	merge_equal_keys(inv);
}

static void fill_workspace(const struct fleet_workspace *from,
			   struct config_builder *b, struct steer_view *v,
			   struct steer_workspace *w)
{
	w->id = prl_hash_string(from->name);
	w->name = config_view_copy_text(v, from->name);
	w->priority = from->priority;
	w->region_mask = config_region_mask(b, from->allowed_region,
					    from->nallowed_region);
	w->is_homeless = from->nallowed_region && !w->region_mask;
	w->rate_milli = MIN(from->rate_milli, QUOTA_MAX_MILLI);
	w->burst_milli = MIN(from->burst_milli, QUOTA_MAX_MILLI);
	w->stats_index =
		config_index_get(&b->workspace_indexes, from->name, "");
	v->nleft_out += w->stats_index < 0;
}

void config_workspaces_fill(const struct inventory *inv,
			    struct config_builder *b, struct steer_view *v,
			    int64_t now)
{
	const struct fleet_manifest *m = &inv->manifest;

	v->has_workspaces = m->has_workspaces;
	v->nworkspace = m->nworkspace;
	v->workspace = config_view_alloc(
		v, sizeof(*v->workspace) * ((size_t)m->nworkspace + 1));
	config_index_round_begin(&b->workspace_indexes);
	for (int i = 0; i < m->nworkspace; i++)
		fill_workspace(&m->workspace[i], b, v, &v->workspace[i]);
	config_index_round_end(&b->workspace_indexes, now);
	v->nkey = inv->nkey;
	v->key = config_view_alloc(v, sizeof(*v->key) * ((size_t)v->nkey + 1));
	if (v->nkey)
		memcpy(v->key, inv->key, sizeof(*v->key) * (size_t)v->nkey);
}
