#include <primroselead/ledger.h>

/* Part of a pool that VMs of other regions may share, in percent. */
#define REMOTE_PERCENT 20

/* Use above this share of what is held asks for more, in percent. */
#define BUSY_PERCENT 75

/* Use below this share of what is held lets some go, in percent. */
#define IDLE_PERCENT 40

/* Least part of its fair share that an idle VM keeps, in percent. */
#define KEEP_PERCENT 50

#define PERCENT 100

static int least(int a, int b)
{
	return a < b ? a : b;
}

static int most(int a, int b)
{
	return a > b ? a : b;
}

/* An even split; local VMs have nearly all of the pool. */
static int fair(const struct ledger_wish *w)
{
	int remote_vms = w->all_vms - w->local_vms;
	int remote = 0;

	if (remote_vms > 0)
		remote = w->capacity * REMOTE_PERCENT / PERCENT;
	if (!w->local_vms)
		remote = w->capacity;
	if (!w->local)
		return remote_vms > 0 ? remote / remote_vms : 0;
	return (w->capacity - remote) / most(w->local_vms, 1);
}

static int busy(const struct ledger_wish *w)
{
	return w->refused > 0 ||
	       (int64_t)w->peak * PERCENT > (int64_t)w->mine * BUSY_PERCENT;
}

static int idle(const struct ledger_wish *w)
{
	return !w->refused &&
	       (int64_t)w->peak * PERCENT < (int64_t)w->mine * IDLE_PERCENT;
}

int ledger_plan(const struct ledger_wish *w)
{
	int base = fair(w);
	int room = w->mine + w->unused;
	int keep = most(base * KEEP_PERCENT / PERCENT, 1);

	if (w->mine < base && busy(w))
		return least(base, room);
	/* Growth takes half of what is unused, so that several VMs that grow
	 * at once leave each other something. */
	if (busy(w) && w->unused > 0)
		return least(w->mine + most(w->unused / 2, 1), room);
	if (w->mine < keep)
		return least(keep, room);
	if (idle(w) && w->mine > keep)
		return most(keep, w->mine - most(w->mine / 4, 1));
	return w->mine;
}
