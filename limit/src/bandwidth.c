#include <primroselead/bandwidth.h>

#define US_PER_S 1000000
#define MS_PER_S 1000

static void add_credit(struct limit_bandwidth *f, int64_t bytes, int64_t most)
{
	int64_t have = atomic_load(&f->credit_bytes);
	int64_t want;

	do {
		want = have + bytes;
		if (want > most)
			want = most;
	} while (!atomic_compare_exchange_weak(&f->credit_bytes, &have, want));
}

int limit_bandwidth_refill(struct limit_bandwidth *f, int64_t rate,
			   int64_t now_us)
{
	int64_t most = rate * LIMIT_BANDWIDTH_BURST_MS / MS_PER_S;
	int64_t before = atomic_load(&f->refilled_us);
	int64_t us = now_us - before;

	/* After a second the credit is full in any case. */
	if (us > US_PER_S)
		us = US_PER_S;
	/* One thread of those that come together adds the time's worth. */
	if (us > 0 && us * rate >= US_PER_S &&
	    atomic_compare_exchange_strong(&f->refilled_us, &before, now_us))
		add_credit(f, us * rate / US_PER_S, most);
	return atomic_load(&f->credit_bytes) > 0;
}

void limit_bandwidth_charge(struct limit_bandwidth *f, int64_t bytes)
{
	atomic_fetch_sub(&f->credit_bytes, bytes);
}
