#ifndef PROXY_LOADS_H
#define PROXY_LOADS_H

#include <primroselead/proxy.h>

/* Loads that upstreams tell in their responses, to this VM and to others. */

/** Records the load that an upstream told one of this thread's requests. */
void loads_record_own(struct proxy_thread *t, int stats_index,
		      const struct proxy_load *load);

/** Brings the thread's statistics of a service's upstreams up to date with what
 * other VMs and threads were told. */
void loads_read_peers(struct proxy_thread *t, const struct steer_service *s);

#endif
