#include <primroselead/steer.h>

static int overlap(int64_t a_from, int64_t a_to, int64_t b_from, int64_t b_to)
{
	int64_t from = a_from > b_from ? a_from : b_from;
	int64_t to = a_to < b_to ? a_to : b_to;

	return to > from ? (int)(to - from) : 0;
}

static int64_t active_slots(const struct steer_upstream *u)
{
	return u->state == STEER_ACTIVE ? u->slots : 0;
}

void steer_divide_slots(const struct steer_upstream *upstream, int n, int rank,
			int vms, int *quota)
{
	int64_t total = 0;
	int64_t offset = 0;
	int64_t from;
	int64_t to;

	for (int i = 0; i < n; i++)
		total += active_slots(&upstream[i]);
	/* Numbers the slots of all upstreams consecutively; each VM gets an
	 * equal range of numbers. */
	from = total * rank / vms;
	to = total * (rank + 1) / vms;
	for (int i = 0; i < n; i++) {
		int64_t slots = active_slots(&upstream[i]);

		quota[i] = overlap(offset, offset + slots, from, to);
		offset += slots;
	}
}
