#ifndef CONFIG_UPSTREAM_ID_H
#define CONFIG_UPSTREAM_ID_H

#include <primroselead/fleet.h>
#include <stddef.h>

/** Formats the name of one start of an upstream, which a restart under the same
 * instance name does not keep. */
void inventory_format_start(const struct fleet_upstream *entry, char *out,
			    size_t size);

/** Hash of that name: the upstream's id in views. */
uint64_t inventory_upstream_id(const struct fleet_upstream *entry);

#endif
