#include <primroselead/spread.h>

/* Maximum number of VMs that one VM relays a change to. */
#define FANOUT 4

int spread_tree_children(int rank, int total, int *out, int max)
{
	int n = 0;

	for (int k = 1; k <= FANOUT && n < max; k++) {
		int child = rank * FANOUT + k;

		if (child < total)
			out[n++] = child;
	}
	return n;
}
