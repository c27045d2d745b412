#include <primroselead/steer.h>
#include <string.h>
#include <strings.h>

/* Compares the first len bytes of a request's host with a route's host, as
 * strcmp() does but ignoring case. */
static int compare_host(const char *host, size_t len, const char *route)
{
	int order = strncasecmp(host, route, len);

	return order ? order : -(route[len] != 0);
}

static int first_route_of_host(const struct steer_view *v, const char *host,
			       size_t len)
{
	int low = 0;
	int high = v->nroute;

	while (low < high) {
		int mid = (low + high) / 2;

		if (compare_host(host, len, v->route[mid].host) > 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const struct steer_route *steer_find_route(const struct steer_view *v,
					   const char *host, const char *path)
{
	size_t len = strcspn(host, ":");
	size_t path_len = strcspn(path, "?");

	for (int i = first_route_of_host(v, host, len); i < v->nroute; i++) {
		const struct steer_route *r = &v->route[i];

		if (compare_host(host, len, r->host))
			return NULL;
		if (strlen(r->prefix) <= path_len &&
		    !strncmp(path, r->prefix, strlen(r->prefix)))
			return r;
	}
	return NULL;
}
