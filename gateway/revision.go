package gateway

import "github.com/rotisserie/eris"

// Revision orders the states of objects in the store: first by the era of the store, then
// by the number that the store gave to the change. A store that was restored from a backup
// gives out the numbers of the lost changes again and raises its era.
type Revision uint64

const (
	// firstEra is the era of a store that was never restored. Its revisions are plain
	// numbers, as members without eras send them.
	firstEra  = 1
	eraShift  = 48
	maxEra    = 1 << (64 - eraShift)
	maxNumber = 1<<eraShift - 1
)

// ErrRevisionRange means that an era or the number of a change does not fit a [Revision].
var ErrRevisionRange = eris.New("gateway: revision out of range")

// NewRevision returns the revision of a change, by its number in an era of the store. An
// era of 0 is that of a store without eras.
func NewRevision(era, number uint64) (Revision, error) {
	era = max(era, firstEra)
	if era > maxEra || number > maxNumber {
		return 0, eris.Wrapf(ErrRevisionRange, "era %d, number %d", era, number)
	}
	return Revision((era-firstEra)<<eraShift | number), nil
}

// Era returns the era of the store.
func (r Revision) Era() uint64 { return uint64(r>>eraShift) + firstEra }

// Number returns the number of the change within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }
