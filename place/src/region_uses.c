#include <primroselead/place.h>

/* Connections count as kept until the uses are below this part of those from
 * which they do. */
#define UNTIL_PART 2

/* Time over which requests are counted, in ms. */
#define WINDOW_MS 2000

#define THOUSAND 1000

static void count(struct place_region_uses *u, int64_t now_ms)
{
	int64_t age_ms = now_ms - u->counted_ms;

	u->milli -=
		age_ms < WINDOW_MS ? u->milli * age_ms / WINDOW_MS : u->milli;
	u->milli += THOUSAND;
	u->counted_ms = now_ms;
}

int place_keeps_connections(const struct place_request *req, int region,
			    int64_t idle_ms, int64_t uses_min)
{
	struct place_region_uses *u = &req->state->region_uses[region];
	int64_t uses_milli;
	int64_t n = req->service->region[region].nupstream;

	if (!req->is_repeated)
		count(u, req->now_ms);
	uses_milli = u->milli * idle_ms / WINDOW_MS;
	if (uses_milli >= n * uses_min * THOUSAND)
		u->keeps_connections = 1;
	else if (uses_milli < n * uses_min * THOUSAND / UNTIL_PART)
		u->keeps_connections = 0;
	return u->keeps_connections;
}
