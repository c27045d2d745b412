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

int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max)
{
	uint64_t weight[MEMBER_RANK_MAX];
	int limit = max < MEMBER_RANK_MAX ? max : MEMBER_RANK_MAX;
	int n = 0;

	if (limit <= 0)
		return 0;
	for (int i = 0; i < m->npeer; i++) {
		uint64_t candidate_weight;
		int k;

		if (!is_candidate(&m->peer[i], domain))
			continue;
		candidate_weight = prl_hash_combine(m->peer[i].id, topic);
		if (n == limit && candidate_weight <= weight[n - 1])
			continue;
		k = n < limit ? n++ : n - 1;
		while (k > 0 && weight[k - 1] < candidate_weight) {
			weight[k] = weight[k - 1];
			out[k] = out[k - 1];
			k--;
		}
		weight[k] = candidate_weight;
		out[k] = i;
	}
	return n;
}
