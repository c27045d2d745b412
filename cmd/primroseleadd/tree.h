#ifndef PRIMROSELEADD_TREE_H
#define PRIMROSELEADD_TREE_H

#include <primroselead/wire.h>

/*
 * Relay trees: a message goes to the root of each failure domain, and from VM
 * to VM within the domain. The order of a domain's VMs in the tree depends on
 * the topic, so that load is spread, and a VM that does not relay cuts other
 * VMs off for each topic.
 */

struct control;

/** Sends a message to this VM's children, once each. */
void tree_send_to_children(struct control *c, uint64_t topic,
			   const struct wire_args *args);

/** Sends a message to the root of a failure domain, unless this VM is it. */
void tree_send_to_root(struct control *c, const char *domain, uint64_t topic,
		       const struct wire_args *args);

/** The same two with retransmissions until the receiver replies. */
void tree_push_to_children(struct control *c, uint64_t topic,
			   const struct wire_args *args);
void tree_push_to_root(struct control *c, const char *domain, uint64_t topic,
		       const struct wire_args *args);

#endif
