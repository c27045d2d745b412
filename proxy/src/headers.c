#include "request.h"
#include <string.h>

/* Hop-by-hop headers: RFC 9110, section 7.6.1. */
static const char *const hop_by_hop[] = {"Connection",
					 "Keep-Alive",
					 "Proxy-Authenticate",
					 "Proxy-Authorization",
					 "Proxy-Connection",
					 "TE",
					 "Trailer",
					 "Transfer-Encoding",
					 "Upgrade",
					 0};

/* Whether a comma-separated list contains a name, in any case. */
static int list_has(const char *list, const char *name)
{
	size_t n = strlen(name);

	while (*list) {
		size_t len;

		list += strspn(list, " ,\t");
		len = strcspn(list, " ,\t");
		if (len == n && !strncasecmp(list, name, n))
			return 1;
		list += len;
	}
	return 0;
}

int header_is_hop_by_hop(const char *name, const char *connection)
{
	for (int i = 0; hop_by_hop[i]; i++)
		if (!strcasecmp(name, hop_by_hop[i]))
			return 1;
	return connection && list_has(connection, name);
}
