#include "internal.h"
#include <primroselead/hash.h>
#include <primroselead/member.h>
#include <string.h>

int member_is_usable(const struct member_peer *p)
{
	return p->vm.state == MEMBER_LIVE || p->vm.state == MEMBER_SUSPECT;
}

static int is_candidate(const struct member_peer *p, const char *domain)
{
	return member_is_usable(p) &&
	       (!domain || !strcmp(p->vm.domain, domain));
}

int member_insert_weight(uint64_t *weight, int *n, int max, uint64_t added)
{
	int k;

	if (*n == max && added <= weight[max - 1])
		return -1;
	k = *n < max ? (*n)++ : max - 1;
	while (k > 0 && weight[k - 1] < added) {
		weight[k] = weight[k - 1];
		k--;
	}
	weight[k] = added;
	return k;
}

int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max)
{
	uint64_t weight[MEMBER_RANK_MAX];
	int limit = max < MEMBER_RANK_MAX ? max : MEMBER_RANK_MAX;
	int n = 0;

	if (limit <= 0)
		return 0;
	for (int i = 0; i < m->npeer; i++) {
		int k;

		if (!is_candidate(&m->peer[i], domain))
			continue;
		k = member_insert_weight(
			weight, &n, limit,
			prl_hash_combine(m->peer[i].id, topic));
		if (k < 0)
			continue;
		memmove(&out[k + 1], &out[k],
			(size_t)(n - 1 - k) * sizeof(*out));
		out[k] = i;
	}
	return n;
}
