#include <primroselead/hash.h>
#include <primroselead/member.h>
#include <string.h>

static int usable(const struct member_peer *p, const char *domain)
{
	if (p->vm.state != MEMBER_LIVE && p->vm.state != MEMBER_SUSPECT)
		return 0;
	return !domain || !strcmp(p->vm.domain, domain);
}

static uint64_t weight(const struct member_peer *p, uint64_t topic)
{
	return prl_hash_pair(prl_hash_name(p->vm.name), topic);
}

int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max)
{
	uint64_t held[MEMBER_RANK_MAX];
	int limit = max < MEMBER_RANK_MAX ? max : MEMBER_RANK_MAX;
	int n = 0;

	if (limit <= 0)
		return 0;
	for (int i = 0; i < m->n; i++) {
		uint64_t w;
		int k;

		if (!usable(&m->peer[i], domain))
			continue;
		w = weight(&m->peer[i], topic);
		if (n == limit && w <= held[n - 1])
			continue;
		k = n < limit ? n++ : n - 1;
		while (k > 0 && held[k - 1] < w) {
			held[k] = held[k - 1];
			out[k] = out[k - 1];
			k--;
		}
		held[k] = w;
		out[k] = i;
	}
	return n;
}
