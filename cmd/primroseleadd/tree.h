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

/** How a message is sent. */
enum tree_delivery {
	TREE_ONCE,
	/** With retransmissions until the receiver replies, or for a short
	 * time. */
	TREE_ACKNOWLEDGED,
};

/** Sends a message to this VM's children in the tree of its failure domain. */
void tree_send_to_children(struct control *c, uint64_t topic,
			   const struct wire_args *args,
			   enum tree_delivery delivery);

/** Sends a message to the root of a failure domain, unless this VM is it. */
void tree_send_to_root(struct control *c, const char *domain, uint64_t topic,
		       const struct wire_args *args,
		       enum tree_delivery delivery);

#endif
