#include "attempt.h"
#include "request.h"
#include <primroselead/clock.h>

/* Interval at which a link without bandwidth is checked again, in milliseconds.
 */
#define RECHECK_MS 5

/* Bytes in a megabit. */
#define BYTES_PER_MBIT 125000

int link_to_region(const struct proxy_request *r, int region)
{
	int own_region = r->thread->proxy->region;

	if (region == own_region)
		return STEER_NONE;
	return steer_link_semaphore_index(r->service, own_region, region);
}

/* Bytes per second that this VM may send over a link. */
static int64_t link_rate(const struct proxy *p, int link)
{
	return (int64_t)limit_semaphore_size(&p->semaphore[link]) *
	       BYTES_PER_MBIT;
}

int link_ready(struct proxy *p, int link)
{
	return link == STEER_NONE ||
	       limit_bandwidth_refill(&p->link_bandwidth[link],
				      link_rate(p, link), prl_now_us());
}

int link_admits(struct proxy *p, int link)
{
	return link == STEER_NONE ||
	       limit_bandwidth_admit(&p->link_bandwidth[link],
				     link_rate(p, link), prl_now_us());
}

void link_charge(struct proxy_request *r, size_t bytes)
{
	if (r->link != STEER_NONE)
		limit_bandwidth_charge(
			&r->thread->proxy->link_bandwidth[r->link],
			(int64_t)bytes);
}

void link_pause_transfer(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	r->link_paused = 1;
	if (t->link_timer.deadline_ms == PRL_NEVER)
		t->link_timer.deadline_ms = prl_now_ms() + RECHECK_MS;
}

void link_resume_transfers(struct loop_timer *timer, int64_t now)
{
	struct proxy_thread *t = timer->ctx;
	int waiting = 0;

	for (int i = 0; i < t->max_requests; i++) {
		struct proxy_request *r = t->request[i];

		if (!r || !r->link_paused)
			continue;
		if (!link_ready(t->proxy, r->link)) {
			waiting = 1;
			continue;
		}
		r->link_paused = 0;
		/* The callbacks pause the transfer again if it still waits for
		 * body data or buffer space. */
		request_caller_came(r);
		r->upload_paused = 0;
		r->download_paused = 0;
		if (r->transfer_active)
			fetch_unpause(&t->fetch_pool, &r->fetch);
	}
	if (waiting)
		timer->deadline_ms = now + RECHECK_MS;
}
