package control

import (
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

var errUnknownMember = eris.New("control: no live member has this incarnation")

// router returns the handlers of the messages that need no reply.
func (c *Control) router() (*message.Router, error) {
	router, err := message.NewRouter(message.RouterConfig{}, nil)
	if err != nil {
		return nil, eris.Wrap(err, "control: cannot create the message router")
	}
	handlers := map[string]func(from string, payload []byte){
		peer.TopicMembershipPing:  c.members.receive,
		peer.TopicMembershipAck:   c.members.receive,
		peer.TopicMembershipLeave: c.members.receive,
		peer.TopicEvidenceReport:  c.receiveReport,
		peer.TopicLoadReport:      c.receiveLoad,
		peer.TopicDrainingMark:    c.receiveMark,
		peer.TopicStateChanged:    func(string, []byte) { c.requestSync() },
	}
	for topic, handle := range handlers {
		router.AddConsumerHandler(topic, topic, c.transport, func(m *message.Message) error {
			handle(m.Metadata.Get(peer.MetadataFrom), m.Payload)
			return nil
		})
	}
	return router, nil
}

func (c *Control) receiveReport(_ string, payload []byte) {
	var report outlier.Report
	if err := peer.Decode(payload, &report); err != nil {
		c.logger.Warn("peer: evidence report is malformed", zap.Error(err))
		return
	}
	c.addReport(report)
}

func (c *Control) receiveMark(_ string, payload []byte) {
	var mark drainingMark
	if err := peer.Decode(payload, &mark); err != nil {
		c.logger.Warn("peer: draining mark is malformed", zap.Error(err))
		return
	}
	if c.draining.observeResponse(mark.Address, mark.Generation, true) {
		c.refreshAvailability()
		c.propagateMark(mark)
	}
}
