package peer

import (
	"math"
	"time"

	"github.com/agatekeel/agatekeel/core/message"
	"github.com/agatekeel/agatekeel/core/quota"
	pb "github.com/agatekeel/agatekeel/peer/peerpb"
)

func encodeQuotaHeartbeat(q *message.QuotaHeartbeat, to *pb.Heartbeat) {
	if q == nil {
		return
	}
	stamp := uint64(q.Stamp.Microseconds())
	to.QuotaStampMicros = &stamp
	to.QuotaPassOn, to.QuotaPassesOn = q.Loan.PassOn, q.PassesOn
	to.QuotaShares = clampUint32(q.Loan.Shares)
	to.QuotaUntilMicros = uint64(max(q.Loan.Until.Microseconds(), 0)) // rounds down, so that a loan never appears longer
}

func decodeQuotaHeartbeat(m *pb.Heartbeat) *message.QuotaHeartbeat {
	if m.QuotaStampMicros == nil {
		return nil
	}
	return &message.QuotaHeartbeat{
		Stamp: micros(m.GetQuotaStampMicros()),
		Loan:  quota.Loan{Shares: int(m.GetQuotaShares()), Until: micros(m.GetQuotaUntilMicros()), PassOn: m.GetQuotaPassOn()},

		PassesOn: m.GetQuotaPassesOn(),
	}
}

// maxMicros is the largest number of microseconds that a time.Duration holds.
const maxMicros = uint64(math.MaxInt64 / int64(time.Microsecond))

func micros(n uint64) time.Duration { return time.Duration(min(n, maxMicros)) * time.Microsecond }

func encodeWant(w quota.Want) *pb.QuotaWant {
	return &pb.QuotaWant{Account: w.Account, Need: clampUint32(w.Need), Spare: clampUint32(w.Spare)}
}

func decodeWant(w *pb.QuotaWant) quota.Want {
	return quota.Want{Account: w.GetAccount(), Need: int(w.GetNeed()), Spare: int(w.GetSpare())}
}

func encodeGiven(g quota.Given) *pb.QuotaGiven {
	return &pb.QuotaGiven{
		Account: g.Account, Tokens: clampUint32(g.Tokens), None: g.None,
		RetryAfterMillis: clampUint32(int(g.RetryAfter.Milliseconds())),
	}
}

func decodeGiven(g *pb.QuotaGiven) quota.Given {
	return quota.Given{
		Account: g.GetAccount(), Tokens: int(g.GetTokens()), None: g.GetNone(),
		RetryAfter: time.Duration(g.GetRetryAfterMillis()) * time.Millisecond,
	}
}

func clampUint32(n int) uint32 { return uint32(max(0, min(n, math.MaxInt32))) }
