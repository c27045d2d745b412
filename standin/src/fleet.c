/* Simulates a fleet of thousands of VMs for one real daemon: acknowledges its
 * probes from the address of each member, probes it as often as a fleet does,
 * and pushes configuration changes to it. Members have the addresses from
 * 127.1.0.0 upwards and share one port. */
#include "answer.h"
#include "codec.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Address of the first member, in host byte order. */
#define BASE_IP 0x7f010000U
#define PROBE_PERIOD_MS 500
#define REGIONS 18
#define DOMAINS 51
#define RUMORS_PER_MESSAGE 8

struct member {
	char name[16];
	char region[16];
	char domain[16];
	char address[32];
};

static struct {
	struct loop loop;
	struct loop_fd fd;
	struct loop_timer probe_timer;
	struct loop_timer change_timer;
	struct member *member;
	int nmember;
	int port;
	int nannounced;
	int64_t change_period_ms;
	int64_t revision;
	int value_bytes;
	char *value;
	uint32_t xid;
	struct sockaddr_storage target;
	socklen_t target_len;
	uint64_t sent, received;
	char datagram[WIRE_DATAGRAM_MAX];
} sim;

static void fill_wire_vm(const struct member *m, struct wire_vm *out)
{
	out->name = (char *)m->name;
	out->region = (char *)m->region;
	out->domain = (char *)m->domain;
	out->http = (char *)m->address;
	out->rpc = (char *)m->address;
	out->incarnation = 1;
	out->state = 0;
}

/* Sends a datagram with a member's address as its source. */
static void send_from_member(int member, const void *data, size_t len,
			     const struct sockaddr_storage *to,
			     socklen_t to_len)
{
	union {
		struct cmsghdr head;
		char room[CMSG_SPACE(sizeof(struct in_pktinfo))];
	} control = {0};
	struct iovec iov = {.iov_base = (void *)data, .iov_len = len};
	struct msghdr msg = {
		.msg_name = (void *)to,
		.msg_namelen = to_len,
		.msg_iov = &iov,
		.msg_iovlen = 1,
		.msg_control = &control,
		.msg_controllen = sizeof(control.room),
	};
	struct in_pktinfo info = {0};

	info.ipi_spec_dst.s_addr = htonl(BASE_IP + (uint32_t)member);
	control.head.cmsg_level = IPPROTO_IP;
	control.head.cmsg_type = IP_PKTINFO;
	control.head.cmsg_len = CMSG_LEN(sizeof(info));
	memcpy(CMSG_DATA(&control.head), &info, sizeof(info));
	if (sendmsg(sim.fd.fd, &msg, 0) > 0)
		sim.sent++;
}

/* Fills in successive members from "first" on, or random members if "first" is
 * negative. */
static void fill_rumors(struct wire_vm *rumor, int first)
{
	for (int i = 0; i < RUMORS_PER_MESSAGE; i++)
		fill_wire_vm(&sim.member[first < 0 ? rand() % sim.nmember
						   : (first + i) % sim.nmember],
			     &rumor[i]);
}

static void reply_to_call(int member, const struct wire_request *r,
			  const struct wire_args *args)
{
	struct wire_result result = {.proc = r->proc};
	struct wire_vm rumor[RUMORS_PER_MESSAGE];
	char data[4096];
	size_t n;

	if (r->proc == WIRE_PROBE) {
		fill_wire_vm(&sim.member[member], &result.u.ack.from);
		result.u.ack.sequence = args->u.probe.sequence;
		fill_rumors(rumor, -1);
		result.u.ack.rumor.rumor_val = rumor;
		result.u.ack.rumor.rumor_len = RUMORS_PER_MESSAGE;
	} else if (r->proc != WIRE_PUSH) {
		return;
	}
	n = wire_encode_reply(data, sizeof(data), r->xid, &result);
	if (n)
		send_from_member(member, data, n, &r->from, r->from_len);
}

/* Member to whose address a datagram was sent, or -1. */
static int destination_member(const struct msghdr *msg)
{
	struct in_pktinfo info;

	for (struct cmsghdr *c = CMSG_FIRSTHDR(msg); c;
	     c = CMSG_NXTHDR((struct msghdr *)msg, c)) {
		if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_PKTINFO)
			continue;
		memcpy(&info, CMSG_DATA(c), sizeof(info));
		return (int)(ntohl(info.ipi_addr.s_addr) - BASE_IP);
	}
	return -1;
}

static void on_datagram(struct loop_fd *f, uint32_t events)
{
	union {
		struct cmsghdr head;
		char room[256];
	} control;
	struct wire_request r = {0};
	struct wire_args args;
	struct iovec iov = {.iov_base = sim.datagram,
			    .iov_len = sizeof(sim.datagram)};
	struct msghdr msg = {
		.msg_name = &r.from,
		.msg_namelen = sizeof(r.from),
		.msg_iov = &iov,
		.msg_iovlen = 1,
		.msg_control = &control,
		.msg_controllen = sizeof(control),
	};
	ssize_t n = recvmsg(f->fd, &msg, 0);
	int member = n > 0 ? destination_member(&msg) : -1;

	(void)events;
	if (member < 0 || member >= sim.nmember)
		return;
	sim.received++;
	r.from_len = msg.msg_namelen;
	if (wire_decode_call(sim.datagram, (size_t)n, &r, &args))
		return;
	reply_to_call(member, &r, &args);
	wire_args_free(&args);
}

static void send_call(int member, const struct wire_args *args)
{
	size_t n = wire_encode_call(sim.datagram, sizeof(sim.datagram),
				    ++sim.xid, args);

	if (n)
		send_from_member(member, sim.datagram, n, &sim.target,
				 sim.target_len);
}

static void send_probe(int member, int first)
{
	struct wire_args args = {.proc = WIRE_PROBE};
	struct wire_vm rumor[RUMORS_PER_MESSAGE];

	fill_wire_vm(&sim.member[member], &args.u.probe.from);
	args.u.probe.sequence = (int64_t)sim.xid;
	fill_rumors(rumor, first);
	args.u.probe.rumor.rumor_val = rumor;
	args.u.probe.rumor.rumor_len = RUMORS_PER_MESSAGE;
	send_call(member, &args);
}

/* Announces every member once; then sends one probe per period, the mean rate
 * at which a VM of a fleet is probed. */
static void on_probe_timer(struct loop_timer *t, int64_t now)
{
	if (sim.nannounced < sim.nmember) {
		send_probe(sim.nannounced, sim.nannounced);
		sim.nannounced += RUMORS_PER_MESSAGE;
		t->deadline_ms = now + 2;
		return;
	}
	send_probe(rand() % sim.nmember, -1);
	t->deadline_ms = now + PROBE_PERIOD_MS;
}

static void push_change(struct loop_timer *t, int64_t now)
{
	struct wire_args args = {.proc = WIRE_PUSH};
	struct wire_object object;
	char key[64];

	t->deadline_ms = now + sim.change_period_ms;
	if (sim.nannounced < sim.nmember)
		return;
	snprintf(key, sizeof(key), "steer/services/s%lld",
		 (long long)(sim.revision % 1000));
	snprintf(sim.value, (size_t)sim.value_bytes,
		 "[service]\nname = s%lld\n[region r0]\ncapacity = 5\n#",
		 (long long)(sim.revision % 1000));
	args.u.push.after = sim.revision;
	args.u.push.complete = ++sim.revision;
	args.u.push.object.object_val = &object;
	args.u.push.object.object_len = 1;
	object.key = key;
	object.revision = sim.revision;
	object.value.value_val = sim.value;
	object.value.value_len = (u_int)strlen(sim.value);
	/* Pad the service file to value_bytes with a comment. */
	memset(sim.value + strlen(sim.value), 'x',
	       (size_t)sim.value_bytes - strlen(sim.value) - 1);
	object.value.value_len = (u_int)strlen(sim.value);
	send_call(rand() % sim.nmember, &args);
}

static void init_members(void)
{
	sim.member = calloc((size_t)sim.nmember, sizeof(*sim.member));
	if (!sim.member)
		abort();
	for (int i = 0; i < sim.nmember; i++) {
		struct member *m = &sim.member[i];
		struct in_addr ip = {.s_addr = htonl(BASE_IP + (uint32_t)i)};

		snprintf(m->name, sizeof(m->name), "f%d", i);
		snprintf(m->region, sizeof(m->region), "r%d", i % REGIONS);
		snprintf(m->domain, sizeof(m->domain), "d%d", i % DOMAINS);
		snprintf(m->address, sizeof(m->address), "%s:%d", inet_ntoa(ip),
			 sim.port);
	}
}

static int open_socket(void)
{
	struct sockaddr_in any = {.sin_family = AF_INET};
	int yes = 1;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	any.sin_port = htons((uint16_t)sim.port);
	setsockopt(fd, IPPROTO_IP, IP_PKTINFO, &yes, sizeof(yes));
	if (fd < 0 || bind(fd, (struct sockaddr *)&any, sizeof(any)))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	sim.nmember = atoi(command_option(argc, argv, "members", "7900"));
	sim.port = atoi(command_option(argc, argv, "port", "21900"));
	sim.change_period_ms =
		atoi(command_option(argc, argv, "change-ms", "2107"));
	sim.value_bytes = atoi(command_option(argc, argv, "value", "2048"));
	sim.revision = 1000000;
	sim.value = malloc((size_t)sim.value_bytes + 1);
	if (!sim.value ||
	    prl_address_parse(command_option(argc, argv, "target", ""),
			      &sim.target, &sim.target_len))
		return 2;
	init_members();
	sim.fd.fd = open_socket();
	sim.fd.on_ready = on_datagram;
	if (sim.fd.fd < 0 || loop_init(&sim.loop, NULL) ||
	    loop_add(&sim.loop, &sim.fd, EPOLLIN, NULL))
		return 1;
	sim.probe_timer.on_expiry = on_probe_timer;
	sim.change_timer.on_expiry = push_change;
	loop_timer_add(&sim.loop, &sim.probe_timer);
	loop_timer_add(&sim.loop, &sim.change_timer);
	sim.probe_timer.deadline_ms = prl_now_ms();
	sim.change_timer.deadline_ms = prl_now_ms() + sim.change_period_ms;
	loop_run(&sim.loop);
	return 0;
}
