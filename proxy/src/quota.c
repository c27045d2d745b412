/* Limits that all VMs share, as requests use them: quotas and retry budgets. */
#include "quota.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/place.h>

/* Without a control thread there are no values that could be old. */
static int is_current(const struct proxy *p)
{
	int64_t until_ms = atomic_load(&p->limits_until_ms);

	return !until_ms || prl_now_ms() <= until_ms;
}

int quota_take(struct proxy_request *r, struct shared_limit *l)
{
	return is_current(r->thread->proxy) && shared_limit_take(l);
}

static int count_vms(const struct proxy_request *r)
{
	return r->view->nactive > 0 ? r->view->nactive : 1;
}

struct shared_limit *quota_retry_budget(struct proxy_request *r)
{
	struct shared_limit *l =
		&r->thread->proxy->service[r->service->stats_index]
			 .retry_budget;
	struct limit_terms terms =
		shared_limit_retry_terms(r->thread->bounds.retry_permille,
					 r->thread->bounds.retry_extra);

	shared_limit_prepare(l, &terms, count_vms(r));
	return l;
}

static struct shared_limit *find_quota(struct proxy_request *r)
{
	const struct steer_workspace *w =
		r->workspace_id
			? steer_find_workspace_by_id(r->view, r->workspace_id)
			: NULL;
	struct limit_terms terms = {0};
	struct shared_limit *l;

	if (!w || w->rate_milli <= 0 || w->stats_index < 0)
		return NULL;
	l = &r->thread->proxy->quota[w->stats_index];
	terms.rate_milli = w->rate_milli;
	terms.burst_milli = w->burst_milli;
	shared_limit_prepare(l, &terms, count_vms(r));
	return l;
}

static void reject(struct proxy_request *r, const struct shared_limit *l)
{
	struct proxy_thread *t = r->thread;

	t->random_state = prl_hash_combine(t->random_state, r->handle);
	r->retry_after_ms =
		place_retry_after(shared_limit_wait_ms(l), t->random_state);
	metrics_add(&t->metrics, METRIC_REQUESTS_OVER_QUOTA, 1);
	request_fail(r, MHD_HTTP_TOO_MANY_REQUESTS,
		     "the workspace's quota is used up");
}

int quota_admit(struct proxy_request *r)
{
	struct shared_limit *l = r->relayed ? NULL : find_quota(r);

	if (!l)
		return 1;
	if (!quota_take(r, l)) {
		reject(r, l);
		return 0;
	}
	r->quota = l;
	return 1;
}

void quota_finish(struct proxy_request *r)
{
	if (r->quota && r->outcome == OUTCOME_NOT_RUN)
		shared_limit_give_back(r->quota);
	r->quota = NULL;
}
