#include <primroselead/steer.h>

static int compare_digest(const struct prl_hash128 *a,
			  const struct prl_hash128 *b)
{
	if (a->high != b->high)
		return a->high < b->high ? -1 : 1;
	if (a->low != b->low)
		return a->low < b->low ? -1 : 1;
	return 0;
}

const struct steer_workspace *
steer_find_workspace(const struct steer_view *v, const struct prl_hash128 *key)
{
	int low = 0;
	int high = v->nkey - 1;

	while (low <= high) {
		int mid = (low + high) / 2;
		int order = compare_digest(key, &v->key[mid].digest);

		if (!order)
			return v->key[mid].workspace == STEER_NONE
				       ? NULL
				       : &v->workspace[v->key[mid].workspace];
		if (order < 0)
			high = mid - 1;
		else
			low = mid + 1;
	}
	return NULL;
}

const struct steer_workspace *
steer_find_workspace_by_id(const struct steer_view *v, uint64_t id)
{
	int low = 0;
	int high = v->nworkspace - 1;

	while (low <= high) {
		int mid = (low + high) / 2;

		if (v->workspace[mid].id == id)
			return &v->workspace[mid];
		if (id < v->workspace[mid].id)
			high = mid - 1;
		else
			low = mid + 1;
	}
	return NULL;
}
