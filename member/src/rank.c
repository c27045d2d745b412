#include <primroselead/hash.h>
#include <primroselead/member.h>
#include <string.h>

int member_is_usable(const struct member_peer *p)
{
	return p->vm.state == MEMBER_LIVE || p->vm.state == MEMBER_SUSPECT;
}

static int takes_part(const struct member_peer *p, const char *domain)
{
	return member_is_usable(p) &&
	       (!domain || !strcmp(p->vm.domain, domain));
}

int member_rank(const struct member_table *m, const char *domain,
		uint64_t topic, int *out, int max)
{
	uint64_t held[MEMBER_RANK_MAX];
	int limit = max < MEMBER_RANK_MAX ? max : MEMBER_RANK_MAX;
	int n = 0;

	if (limit <= 0)
		return 0;
	for (int i = 0; i < m->npeer; i++) {
		uint64_t w;
		int k;

		if (!takes_part(&m->peer[i], domain))
			continue;
		w = prl_hash_pair(m->peer[i].id, topic);
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
