#include "tree.h"
#include "control.h"
#include <primroselead/clock.h>
#include <string.h>

/* Retransmission interval and timeout of a message that is pushed, in ms. */
#define PUSH_RETRANSMIT_MS 100
#define PUSH_TIMEOUT_MS 500

/* Most children of one VM. */
#define CHILDREN_MAX 8

static void send_to(struct control *c, int peer, const struct wire_args *args,
		    enum tree_delivery delivery)
{
	const char *to = c->members.peer[peer].vm.rpc;
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + PUSH_TIMEOUT_MS,
		.retransmit_ms = PUSH_RETRANSMIT_MS,
	};

	switch (delivery) {
	case TREE_ONCE:
		wire_notify(&c->wire, to, args, NULL);
		break;
	case TREE_ACKNOWLEDGED:
		wire_call(&c->wire, to, args, &o, NULL);
		break;
	}
}

/* Fills the members that are this VM's children. Returns their number. */
static int list_children(const struct control *c, uint64_t topic,
			 int out[CHILDREN_MAX])
{
	int rank[MEMBER_RANK_MAX];
	int total = member_rank(&c->members, c->settings->vm.domain, topic,
				rank, MEMBER_RANK_MAX);
	int self = 0;
	int n;

	while (self < total && rank[self] != 0)
		self++;
	if (self == total)
		return 0;
	n = spread_tree_children(self, total, out, CHILDREN_MAX);
	for (int i = 0; i < n; i++)
		out[i] = rank[out[i]];
	return n;
}

void tree_send_to_children(struct control *c, uint64_t topic,
			   const struct wire_args *args,
			   enum tree_delivery delivery)
{
	int child[CHILDREN_MAX];
	int n = list_children(c, topic, child);

	for (int i = 0; i < n; i++)
		send_to(c, child[i], args, delivery);
}

void tree_send_to_root(struct control *c, const char *domain, uint64_t topic,
		       const struct wire_args *args,
		       enum tree_delivery delivery)
{
	/* Index 0, the VM itself, if the domain has no usable member. */
	int root = 0;

	member_rank(&c->members, domain, topic, &root, 1);
	if (root)
		send_to(c, root, args, delivery);
}
